package weights

// Each host announces several times a second which chunks it holds, and chunk
// selection compares these announcements bit by bit. A bitmap needs one bit for
// each chunk and can be sent as it is. A map of indices was rejected because it
// needs a hundred times the memory and has no fixed order.

import (
	"encoding/base64"
	"fmt"
	"math/bits"
	"slices"
)

const wordBits = 64

type (
	// Set is an immutable set of chunk indices of one manifest. The zero value is
	// the set for a manifest without chunks.
	Set struct {
		words []uint64
		size  int
		count int
	}
)

// NewSet returns the empty set for a manifest of size chunks.
func NewSet(size int) Set {
	return Set{words: make([]uint64, (size+wordBits-1)/wordBits), size: size}
}

// Size returns the number of chunks of the manifest, whether in the set or not.
func (set Set) Size() int { return set.size }

// Count returns the number of chunks in the set.
func (set Set) Count() int { return set.count }

// Full reports whether the set contains every chunk of the manifest.
func (set Set) Full() bool { return set.count == set.size }

// Has reports whether the chunk is in the set. It is false for an index out of
// range.
func (set Set) Has(index int) bool {
	return index >= 0 && index < set.size && set.words[index/wordBits]&(1<<(index%wordBits)) != 0
}

// With returns a copy of the set with the chunks added. Indices out of range are
// ignored.
func (set Set) With(indices ...int) Set {
	added := Set{words: slices.Clone(set.words), size: set.size, count: set.count}
	for _, index := range indices {
		if index < 0 || index >= set.size || added.Has(index) {
			continue
		}
		added.words[index/wordBits] |= 1 << (index % wordBits)
		added.count++
	}
	return added
}

// Without returns a copy of the set with the chunk removed.
func (set Set) Without(index int) Set {
	if !set.Has(index) {
		return set
	}
	removed := Set{words: slices.Clone(set.words), size: set.size, count: set.count - 1}
	removed.words[index/wordBits] &^= 1 << (index % wordBits)
	return removed
}

// Indices returns the indices of the chunks in ascending order.
func (set Set) Indices() []int {
	indices := make([]int, 0, set.count)
	for i, word := range set.words {
		for ; word != 0; word &= word - 1 {
			indices = append(indices, i*wordBits+bits.TrailingZeros64(word))
		}
	}
	return indices
}

// Encode returns the bitmap in base64, with the lowest indices first.
func (set Set) Encode() string {
	raw := make([]byte, (set.size+7)/8)
	for i := range raw {
		raw[i] = byte(set.words[i/8] >> (i % 8 * 8))
	}
	return base64.RawStdEncoding.EncodeToString(raw)
}

// DecodeSet decodes the bitmap of a manifest of size chunks. It returns an error
// if the text has another length, is not base64 or sets bits out of range.
func DecodeSet(text string, size int) (Set, error) {
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil || len(raw) != (size+7)/8 {
		return Set{}, fmt.Errorf("bitmap of %d characters for %d chunks: wrong length or encoding", len(text), size)
	}
	set := NewSet(size)
	for i, octet := range raw {
		set.words[i/8] |= uint64(octet) << (i % 8 * 8)
	}
	if spare := size % wordBits; spare != 0 && set.words[len(set.words)-1]>>spare != 0 {
		return Set{}, fmt.Errorf("bitmap for %d chunks has bits beyond its end", size)
	}
	for _, word := range set.words {
		set.count += bits.OnesCount64(word)
	}
	return set, nil
}

// Union returns the chunks that are in either set. Both sets must belong to the
// same manifest.
func (set Set) Union(other Set) Set {
	return set.combine(other, func(left, right uint64) uint64 { return left | right })
}

// Minus returns the chunks that are not in the other set. Both sets must belong to
// the same manifest.
func (set Set) Minus(other Set) Set {
	return set.combine(other, func(left, right uint64) uint64 { return left &^ right })
}

func (set Set) combine(other Set, operation func(left, right uint64) uint64) Set {
	combined := NewSet(set.size)
	for i := range combined.words {
		right := uint64(0)
		if i < len(other.words) {
			right = other.words[i]
		}
		combined.words[i] = operation(set.words[i], right)
		combined.count += bits.OnesCount64(combined.words[i])
	}
	return combined
}

package weights

// A host states which chunks it holds several times a second, and selection
// compares these statements bit by bit. A bitmap takes one bit for each chunk
// and can be sent as it is; a map of indices was dropped because it takes a
// hundred times the memory and has no fixed order.

import (
	"encoding/base64"
	"fmt"
	"math/bits"
	"slices"
)

const wordBits = 64

type (
	// Set is an immutable set of the chunk indices of one manifest. The zero value
	// is a set over no chunks.
	Set struct {
		words []uint64
		size  int
		count int
	}
)

// NewSet returns the empty set over size chunks.
func NewSet(size int) Set {
	return Set{words: make([]uint64, (size+wordBits-1)/wordBits), size: size}
}

// Size returns the number of chunks that the set ranges over.
func (set Set) Size() int { return set.size }

// Count returns the number of chunks in the set.
func (set Set) Count() int { return set.count }

// Full reports whether the set holds every chunk.
func (set Set) Full() bool { return set.count == set.size }

// Has reports whether the chunk is in the set. An index outside of it is not.
func (set Set) Has(index int) bool {
	return index >= 0 && index < set.size && set.words[index/wordBits]&(1<<(index%wordBits)) != 0
}

// With returns the set with the chunks added. Indices outside of it are ignored.
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

// Without returns the set with the chunk removed.
func (set Set) Without(index int) Set {
	if !set.Has(index) {
		return set
	}
	removed := Set{words: slices.Clone(set.words), size: set.size, count: set.count - 1}
	removed.words[index/wordBits] &^= 1 << (index % wordBits)
	return removed
}

// Indices returns the chunks in rising order.
func (set Set) Indices() []int {
	indices := make([]int, 0, set.count)
	for at, word := range set.words {
		for ; word != 0; word &= word - 1 {
			indices = append(indices, at*wordBits+bits.TrailingZeros64(word))
		}
	}
	return indices
}

// Encode returns the bitmap as text for a message.
func (set Set) Encode() string {
	raw := make([]byte, (set.size+7)/8)
	for at := range raw {
		raw[at] = byte(set.words[at/8] >> (at % 8 * 8))
	}
	return base64.RawStdEncoding.EncodeToString(raw)
}

// DecodeSet reads a bitmap over size chunks.
func DecodeSet(text string, size int) (Set, error) {
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil || len(raw) != (size+7)/8 {
		return Set{}, fmt.Errorf("bitmap of %d characters for %d chunks: wrong length or encoding", len(text), size)
	}
	set := NewSet(size)
	for at, part := range raw {
		set.words[at/8] |= uint64(part) << (at % 8 * 8)
	}
	if spare := size % wordBits; spare != 0 && set.words[len(set.words)-1]>>spare != 0 {
		return Set{}, fmt.Errorf("bitmap for %d chunks has bits beyond its end", size)
	}
	for _, word := range set.words {
		set.count += bits.OnesCount64(word)
	}
	return set, nil
}

// Union returns the chunks of either set. Both range over the same manifest.
func (set Set) Union(other Set) Set {
	return set.combine(other, func(left, right uint64) uint64 { return left | right })
}

// Minus returns the chunks that are not in the other set. Both range over the
// same manifest.
func (set Set) Minus(other Set) Set {
	return set.combine(other, func(left, right uint64) uint64 { return left &^ right })
}

func (set Set) combine(other Set, operation func(left, right uint64) uint64) Set {
	combined := NewSet(set.size)
	for at := range combined.words {
		right := uint64(0)
		if at < len(other.words) {
			right = other.words[at]
		}
		combined.words[at] = operation(set.words[at], right)
		combined.count += bits.OnesCount64(combined.words[at])
	}
	return combined
}

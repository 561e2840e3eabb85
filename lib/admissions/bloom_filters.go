package admissions

import "github.com/cespare/xxhash/v2"

// An agent must remember, in bounded memory, which attempts may have run and which
// were refused. An exact set was rejected because its size can only be bounded by
// forgetting ids, and a forgotten attempt could then be reported as never run.

const (
	filterHashes    = 8
	filterBitsPerID = 32 // Bits per id of a rotatingFilter's capacity; about 6 false positives in a million when full.
	bytesPerWord    = 8
	bitsPerWord     = 64
)

type (
	// bloomFilter is a Bloom filter of attempt ids. It never loses an id but may
	// report an id that was not added, so each use must give membership a meaning
	// for which a false positive is safe.
	bloomFilter struct {
		words []uint64
	}

	// rotatingFilter bounds memory by keeping two filters. When the current one is
	// full, it becomes the previous one and the old previous one is cleared, so an
	// id is remembered until at least capacity later ids have been added.
	rotatingFilter struct {
		capacity     int
		currentCount int
		current      bloomFilter
		previous     bloomFilter
	}
)

func newBloomFilter(bytes int) bloomFilter {
	return bloomFilter{words: make([]uint64, max(bytes/bytesPerWord, 1))}
}

// bitPosition returns the word and bit mask for one round. All rounds derive their
// positions from the two halves of one hash.
func (filter bloomFilter) bitPosition(hash uint64, round int) (word, mask uint64) {
	step := hash>>32 | hash<<32 | 1
	bit := (hash + uint64(round)*step) % uint64(len(filter.words)*bitsPerWord)
	return bit / bitsPerWord, 1 << (bit % bitsPerWord)
}

func (filter bloomFilter) add(id string) {
	hash := xxhash.Sum64String(id)
	for round := range filterHashes {
		word, mask := filter.bitPosition(hash, round)
		filter.words[word] |= mask
	}
}

func (filter bloomFilter) contains(id string) bool {
	hash := xxhash.Sum64String(id)
	for round := range filterHashes {
		word, mask := filter.bitPosition(hash, round)
		if filter.words[word]&mask == 0 {
			return false
		}
	}
	return true
}

func newRotatingFilter(capacity int) *rotatingFilter {
	bytes := capacity * filterBitsPerID / 8
	return &rotatingFilter{capacity: capacity, current: newBloomFilter(bytes), previous: newBloomFilter(bytes)}
}

func (filters *rotatingFilter) add(id string) {
	if filters.currentCount == filters.capacity {
		filters.current, filters.previous = filters.previous, filters.current
		clear(filters.current.words)
		filters.currentCount = 0
	}
	filters.current.add(id)
	filters.currentCount++
}

func (filters *rotatingFilter) contains(id string) bool {
	return filters.current.contains(id) || filters.previous.contains(id)
}

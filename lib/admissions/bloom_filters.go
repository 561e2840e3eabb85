package admissions

import "github.com/cespare/xxhash/v2"

const (
	filterHashes    = 8
	filterBitsPerID = 32 // Bits for each id of a generation; about 6 false positives in a million when full.
	bytesPerWord    = 8
	bitsPerWord     = 64
)

type (
	// filter is a Bloom filter of attempt ids. It never forgets an id; a false
	// positive is possible, and each user picks the meaning of membership so that
	// a false positive is the safe answer. An exact set was rejected because an
	// agent would have to forget ids to bound it, and a forgotten attempt could
	// be reported as never run.
	bloomFilter struct {
		words []uint64
	}

	// generations is a pair of filters. When the younger is full the older is
	// forgotten, so an id is remembered for at least one generation of later ids.
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

// position derives each position from two halves of one hash.
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

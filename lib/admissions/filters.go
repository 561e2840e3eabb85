package admissions

import "github.com/cespare/xxhash/v2"

const (
	filterHashes  = 8
	filterBitsPer = 32 // Bits for each id of a generation; about 6 false positives in a million when full.
	bytesPerWord  = 8
	bitsPerWord   = 64
)

type (
	// filter is a Bloom filter of attempt ids. It never forgets an id; a false
	// positive is possible, and each user picks the meaning of membership so that
	// a false positive is the safe answer. An exact set was rejected because an
	// agent would have to forget ids to bound it, and a forgotten attempt could
	// be reported as never run.
	filter struct {
		words []uint64
	}

	// generations is a pair of filters. When the younger is full the older is
	// forgotten, so an id is remembered for at least one generation of later ids.
	generations struct {
		capacity int
		count    int
		younger  filter
		older    filter
	}
)

func newFilter(bytes int) filter {
	return filter{words: make([]uint64, max(bytes/bytesPerWord, 1))}
}

// position derives each position from two halves of one hash.
func (ids filter) position(hash uint64, round int) (word, mask uint64) {
	step := hash>>32 | hash<<32 | 1
	bit := (hash + uint64(round)*step) % uint64(len(ids.words)*bitsPerWord)
	return bit / bitsPerWord, 1 << (bit % bitsPerWord)
}

func (ids filter) add(id string) {
	hash := xxhash.Sum64String(id)
	for round := range filterHashes {
		word, mask := ids.position(hash, round)
		ids.words[word] |= mask
	}
}

func (ids filter) has(id string) bool {
	hash := xxhash.Sum64String(id)
	for round := range filterHashes {
		word, mask := ids.position(hash, round)
		if ids.words[word]&mask == 0 {
			return false
		}
	}
	return true
}

func newGenerations(capacity int) *generations {
	bytes := capacity * filterBitsPer / 8
	return &generations{capacity: capacity, younger: newFilter(bytes), older: newFilter(bytes)}
}

func (ids *generations) add(id string) {
	if ids.count == ids.capacity {
		ids.younger, ids.older = ids.older, ids.younger
		clear(ids.younger.words)
		ids.count = 0
	}
	ids.younger.add(id)
	ids.count++
}

func (ids *generations) has(id string) bool {
	return ids.younger.has(id) || ids.older.has(id)
}

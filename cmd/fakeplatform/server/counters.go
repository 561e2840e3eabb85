package server

// Requests are counted by the part of their key before the first slash, so that
// tests and benches can see which kind of row or object causes the load.

import (
	"maps"
	"strings"
	"sync"
)

const (
	// maxPrefixes bounds the memory of the counters by prefix. Keys with further
	// prefixes are counted under otherPrefix.
	maxPrefixes = 64
	otherPrefix = "other"
)

type (
	// Counters is the response to GET /counters. All values count from the start of
	// the server.
	Counters struct {
		OriginBytes    int64            `json:"origin_bytes"`
		Reads          int64            `json:"reads"`
		Writes         int64            `json:"writes"`
		RefusedReads   int64            `json:"refused_reads"`
		RefusedWrites  int64            `json:"refused_writes"`
		LostAnswers    int64            `json:"lost_answers"`
		ReadsByPrefix  map[string]int64 `json:"reads_by_prefix"`
		WritesByPrefix map[string]int64 `json:"writes_by_prefix"`
	}

	counter struct {
		mutex sync.Mutex
		total Counters
	}
)

func newCounter() *counter {
	return &counter{total: Counters{ReadsByPrefix: map[string]int64{}, WritesByPrefix: map[string]int64{}}}
}

// prefixOf returns the part of a key before its first slash, or the whole key if
// it has none.
func prefixOf(key string) string {
	prefix, _, _ := strings.Cut(key, "/")
	return prefix
}

func countPrefix(prefixes map[string]int64, key string) {
	prefix := prefixOf(key)
	if _, known := prefixes[prefix]; !known && len(prefixes) >= maxPrefixes {
		prefix = otherPrefix
	}
	prefixes[prefix]++
}

// addRead counts a read of a key or a prefix.
func (counter *counter) addRead(key string) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.total.Reads++
	countPrefix(counter.total.ReadsByPrefix, key)
}

// addWrite counts one write request, and each of its keys by prefix.
func (counter *counter) addWrite(keys ...string) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.total.Writes++
	for _, key := range keys {
		countPrefix(counter.total.WritesByPrefix, key)
	}
}

// increment adds one to the field that the function selects.
func (counter *counter) increment(field func(*Counters) *int64) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	*field(&counter.total)++
}

// snapshot returns a copy of the counters with the bytes sent by the origin.
func (counter *counter) snapshot(originBytes int64) Counters {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	copied := counter.total
	copied.OriginBytes = originBytes
	copied.ReadsByPrefix = maps.Clone(counter.total.ReadsByPrefix)
	copied.WritesByPrefix = maps.Clone(counter.total.WritesByPrefix)
	return copied
}

package server

import (
	"maps"
	"strings"
	"sync"
)

// The counters by prefix stop growing at this number of prefixes.
const (
	maxPrefixes = 64
	otherPrefix = "other"
)

type (
	// Counters is the answer of GET /counters, counted since the start.
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

// prefixOf returns the part of a key before its first slash.
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

func (counter *counter) read(key string) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.total.Reads++
	countPrefix(counter.total.ReadsByPrefix, key)
}

// write counts one request to write, and each of its keys by prefix.
func (counter *counter) write(keys ...string) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.total.Writes++
	for _, key := range keys {
		countPrefix(counter.total.WritesByPrefix, key)
	}
}

func (counter *counter) add(field func(*Counters) *int64) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	*field(&counter.total)++
}

func (counter *counter) snapshot(originBytes int64) Counters {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	copied := counter.total
	copied.OriginBytes = originBytes
	copied.ReadsByPrefix = maps.Clone(counter.total.ReadsByPrefix)
	copied.WritesByPrefix = maps.Clone(counter.total.WritesByPrefix)
	return copied
}

package fake

// Engines keep the computed prefixes of recent prompts and publish events about
// them, from which a router can learn where a prefix is cached. As with real
// engines, the events are late and some of them are lost.

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	maxCacheEvents    = 1024
	lostEventInterval = 7 // Every 7th event takes a sequence number but is never published.
	eventAdded        = "added"
	eventEvicted      = "evicted"
)

type (
	// prefixCache is an LRU cache of computed prompt blocks. A block is identified
	// by the hash of the whole prompt up to its end. The caller holds the mutex of
	// the engine.
	prefixCache struct {
		capacity int
		lag      time.Duration
		blocks   map[uint64]*list.Element
		recent   *list.List // Blocks, most recently used first.
		events   []cacheEvent
		sequence int64
	}

	cacheEvent struct {
		Sequence  int64  `json:"seq"`
		Type      string `json:"type"`
		Block     uint64 `json:"block"`
		visibleAt time.Time
	}
)

func newPrefixCache(capacity int, lag time.Duration) *prefixCache {
	return &prefixCache{capacity: capacity, lag: lag, blocks: map[uint64]*list.Element{}, recent: list.New()}
}

// addPrompt adds the blocks of the prompt to the cache and returns the number of
// blocks that must be computed because they were not cached. The last, incomplete
// block is never cached.
func (cache *prefixCache) addPrompt(prompt string, now time.Time) int {
	digest := xxhash.New()
	count := 1
	for offset := 0; offset+blockBytes <= len(prompt); offset += blockBytes {
		_, _ = digest.WriteString(prompt[offset : offset+blockBytes])
		if !cache.touch(digest.Sum64(), now) {
			count++
		}
	}
	return count
}

// touch marks the block as the most recently used and reports whether it was
// cached before. If it was not, it is added, and the least recently used block is
// evicted if the cache is full.
func (cache *prefixCache) touch(block uint64, now time.Time) bool {
	if element, cached := cache.blocks[block]; cached {
		cache.recent.MoveToFront(element)
		return true
	}
	if cache.capacity == 0 {
		return false
	}
	if cache.recent.Len() >= cache.capacity {
		evicted := cache.recent.Remove(cache.recent.Back()).(uint64)
		delete(cache.blocks, evicted)
		cache.publish(eventEvicted, evicted, now)
	}
	cache.blocks[block] = cache.recent.PushFront(block)
	cache.publish(eventAdded, block, now)
	return false
}

func (cache *prefixCache) clear() {
	cache.blocks = map[uint64]*list.Element{}
	cache.recent.Init()
}

// publish appends an event, which becomes visible after the lag. When the list
// of events is full, its older half is dropped.
func (cache *prefixCache) publish(kind string, block uint64, now time.Time) {
	cache.sequence++
	if cache.sequence%lostEventInterval == 0 {
		return
	}
	if len(cache.events) == maxCacheEvents {
		cache.events = append(cache.events[:0], cache.events[maxCacheEvents/2:]...)
	}
	cache.events = append(cache.events, cacheEvent{Sequence: cache.sequence, Type: kind, Block: block, visibleAt: now.Add(cache.lag)})
}

// visibleEvents returns the events after the sequence number that are visible
// at the time.
func (cache *prefixCache) visibleEvents(after int64, now time.Time) []cacheEvent {
	visible := []cacheEvent{}
	for _, event := range cache.events {
		if event.Sequence > after && !event.visibleAt.After(now) {
			visible = append(visible, event)
		}
	}
	return visible
}

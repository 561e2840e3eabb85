package fake

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	maxCacheEvents = 1024
	gapEvery       = 7 // Each event of this number is lost.
	eventAdded     = "added"
	eventEvicted   = "evicted"
)

type (
	// prefixCache remembers which prompt prefixes are computed, least recently
	// used last. A block is named by the hash of the whole prompt up to its end.
	prefixCache struct {
		capacity int
		lag      time.Duration
		blocks   map[uint64]*list.Element
		recent   *list.List
		events   []cacheEvent
		sequence int64
	}

	cacheEvent struct {
		Sequence int64  `json:"seq"`
		Type     string `json:"type"`
		Block    uint64 `json:"block"`
		visible  time.Time
	}
)

func newPrefixCache(capacity int, lag time.Duration) *prefixCache {
	return &prefixCache{capacity: capacity, lag: lag, blocks: map[uint64]*list.Element{}, recent: list.New()}
}

// missing returns how many blocks of the prompt must be computed, and remembers
// the prompt. The last, incomplete block is always computed.
func (cache *prefixCache) missing(prompt string, now time.Time) int {
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

func (cache *prefixCache) touch(block uint64, now time.Time) bool {
	if element, cached := cache.blocks[block]; cached {
		cache.recent.MoveToFront(element)
		return true
	}
	if cache.capacity == 0 {
		return false
	}
	if cache.recent.Len() >= cache.capacity {
		oldest := cache.recent.Remove(cache.recent.Back()).(uint64)
		delete(cache.blocks, oldest)
		cache.publish(eventEvicted, oldest, now)
	}
	cache.blocks[block] = cache.recent.PushFront(block)
	cache.publish(eventAdded, block, now)
	return false
}

func (cache *prefixCache) clear() {
	cache.blocks = map[uint64]*list.Element{}
	cache.recent.Init()
}

func (cache *prefixCache) publish(kind string, block uint64, now time.Time) {
	cache.sequence++
	if cache.sequence%gapEvery == 0 {
		return
	}
	if len(cache.events) == maxCacheEvents {
		cache.events = append(cache.events[:0], cache.events[maxCacheEvents/2:]...)
	}
	cache.events = append(cache.events, cacheEvent{Sequence: cache.sequence, Type: kind, Block: block, visible: now.Add(cache.lag)})
}

// published returns the events after the sequence number that are visible.
func (cache *prefixCache) published(after int64, now time.Time) []cacheEvent {
	visible := []cacheEvent{}
	for _, event := range cache.events {
		if event.Sequence > after && !event.visible.After(now) {
			visible = append(visible, event)
		}
	}
	return visible
}

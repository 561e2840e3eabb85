package weights

// Hosts have no disks, so chunks live in memory, of which an agent may use only
// a configured amount. The store verifies each chunk before it keeps it, shares
// equal chunks between versions, and evicts the chunks that no target claims,
// oldest first. A cache that evicts by last use was dropped because it can evict
// a chunk that a running transfer still has to deliver.

import (
	"container/list"
	"errors"
	"sync"
)

type (
	// Store holds verified chunks up to a limit in bytes. It is safe for
	// concurrent use. Callers must not change the slices that it returns.
	Store struct {
		mutex   sync.Mutex
		limit   int64
		bytes   int64
		chunks  map[Digest]*kept
		claims  map[string]map[Digest]bool
		claimed map[Digest]int
		idle    *list.List // Digests that no owner claims, oldest first.
	}

	kept struct {
		content []byte
		idle    *list.Element
	}
)

// Errors of Store.Put.
var (
	ErrWrongDigest = errors.New("chunk content does not have the expected digest")
	ErrStoreFull   = errors.New("chunk store is full of claimed chunks")
)

// NewStore returns an empty store that holds at most limit bytes.
func NewStore(limit int64) *Store {
	return &Store{
		limit:   limit,
		chunks:  map[Digest]*kept{},
		claims:  map[string]map[Digest]bool{},
		claimed: map[Digest]int{},
		idle:    list.New(),
	}
}

// Claim makes the digests the ones that the owner needs, in place of those it
// claimed before. Claimed chunks are not evicted.
func (store *Store) Claim(owner string, digests []Digest) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	earlier := store.claims[owner]
	wanted := make(map[Digest]bool, len(digests))
	for _, digest := range digests {
		if wanted[digest] {
			continue
		}
		wanted[digest] = true
		store.claimed[digest]++
		store.refresh(digest)
	}
	store.claims[owner] = wanted
	if len(wanted) == 0 {
		delete(store.claims, owner)
	}
	for digest := range earlier {
		if store.claimed[digest]--; store.claimed[digest] == 0 {
			delete(store.claimed, digest)
		}
		store.refresh(digest)
	}
}

// refresh moves a chunk into or out of the list of idle chunks.
func (store *Store) refresh(digest Digest) {
	chunk, held := store.chunks[digest]
	switch claimed := store.claimed[digest] > 0; {
	case !held:
	case claimed && chunk.idle != nil:
		store.idle.Remove(chunk.idle)
		chunk.idle = nil
	case !claimed && chunk.idle == nil:
		chunk.idle = store.idle.PushBack(digest)
	}
}

// Put verifies and keeps the content, which the caller must not change
// afterwards. It fails with ErrWrongDigest, or with ErrStoreFull when the limit
// leaves no room beside the claimed chunks.
func (store *Store) Put(digest Digest, content []byte) error {
	if Sum(content) != digest {
		return ErrWrongDigest
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if _, held := store.chunks[digest]; held {
		return nil
	}
	size := int64(len(content))
	for store.bytes+size > store.limit && store.idle.Len() > 0 {
		store.evict(store.idle.Front().Value.(Digest))
	}
	if store.bytes+size > store.limit {
		return ErrStoreFull
	}
	store.chunks[digest] = &kept{content: content}
	store.bytes += size
	store.refresh(digest)
	return nil
}

func (store *Store) evict(digest Digest) {
	chunk := store.chunks[digest]
	if chunk.idle != nil {
		store.idle.Remove(chunk.idle)
	}
	store.bytes -= int64(len(chunk.content))
	delete(store.chunks, digest)
}

// Get returns the content of a chunk that the store holds.
func (store *Store) Get(digest Digest) ([]byte, bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	chunk, held := store.chunks[digest]
	if !held {
		return nil, false
	}
	return chunk.content, true
}

// Held returns which chunks of the manifest the store holds.
func (store *Store) Held(manifest Manifest) Set {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var indices []int
	for index, digest := range manifest.Chunks {
		if _, held := store.chunks[digest]; held {
			indices = append(indices, index)
		}
	}
	return NewSet(len(manifest.Chunks)).With(indices...)
}

// Bytes returns the size of all chunks in the store.
func (store *Store) Bytes() int64 {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.bytes
}

// Limit returns the bound of the store in bytes.
func (store *Store) Limit() int64 { return store.limit }

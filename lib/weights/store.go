package weights

// Hosts have no disks, so chunks are kept in memory, of which an agent may use
// only a configured amount. The store verifies each chunk before it keeps it,
// shares equal chunks between versions, and evicts chunks that no target
// claims, longest unclaimed first. Eviction by last use (LRU) was rejected because
// it can evict a chunk that a running transfer still has to deliver.

import (
	"container/list"
	"errors"
	"sync"
)

type (
	// Store keeps verified chunks up to a limit in bytes. It is safe for concurrent
	// use. Callers must not modify the slices that it returns.
	Store struct {
		mutex       sync.Mutex
		limit       int64
		bytes       int64
		chunks      map[Digest]*storedChunk
		claims      map[string]map[Digest]bool // Claimed digests by owner.
		claimCounts map[Digest]int             // Number of owners that claim the digest.
		unclaimed   *list.List                 // Digests of unclaimed chunks, longest unclaimed first.
	}

	storedChunk struct {
		content   []byte
		unclaimed *list.Element // Element in Store.unclaimed; nil while claimed.
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
		limit:       limit,
		chunks:      map[Digest]*storedChunk{},
		claims:      map[string]map[Digest]bool{},
		claimCounts: map[Digest]int{},
		unclaimed:   list.New(),
	}
}

// Claim replaces the claims of the owner with the digests, whether or not their
// chunks are stored. Claimed chunks are not evicted.
func (store *Store) Claim(owner string, digests []Digest) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	previous := store.claims[owner]
	wanted := make(map[Digest]bool, len(digests))
	for _, digest := range digests {
		if wanted[digest] {
			continue
		}
		wanted[digest] = true
		store.claimCounts[digest]++
		store.updateUnclaimed(digest)
	}
	store.claims[owner] = wanted
	if len(wanted) == 0 {
		delete(store.claims, owner)
	}
	for digest := range previous {
		if store.claimCounts[digest]--; store.claimCounts[digest] == 0 {
			delete(store.claimCounts, digest)
		}
		store.updateUnclaimed(digest)
	}
}

// updateUnclaimed adds a stored chunk to the list of unclaimed chunks or removes
// it, according to its claims.
func (store *Store) updateUnclaimed(digest Digest) {
	chunk, held := store.chunks[digest]
	switch claimed := store.claimCounts[digest] > 0; {
	case !held:
	case claimed && chunk.unclaimed != nil:
		store.unclaimed.Remove(chunk.unclaimed)
		chunk.unclaimed = nil
	case !claimed && chunk.unclaimed == nil:
		chunk.unclaimed = store.unclaimed.PushBack(digest)
	}
}

// Put verifies and stores the content, which the caller must not modify
// afterwards. It returns ErrWrongDigest if the content has another digest, and
// ErrStoreFull if the limit leaves no room beside the claimed chunks.
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
	for store.bytes+size > store.limit && store.unclaimed.Len() > 0 {
		store.evict(store.unclaimed.Front().Value.(Digest))
	}
	if store.bytes+size > store.limit {
		return ErrStoreFull
	}
	store.chunks[digest] = &storedChunk{content: content}
	store.bytes += size
	store.updateUnclaimed(digest)
	return nil
}

func (store *Store) evict(digest Digest) {
	chunk := store.chunks[digest]
	if chunk.unclaimed != nil {
		store.unclaimed.Remove(chunk.unclaimed)
	}
	store.bytes -= int64(len(chunk.content))
	delete(store.chunks, digest)
}

// Get returns the content of a chunk and whether the store has it.
func (store *Store) Get(digest Digest) ([]byte, bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	chunk, held := store.chunks[digest]
	if !held {
		return nil, false
	}
	return chunk.content, true
}

// Held returns the set of chunks of the manifest that the store has.
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

// Bytes returns the total size of the stored chunks.
func (store *Store) Bytes() int64 {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.bytes
}

// Limit returns the maximum size of the store in bytes.
func (store *Store) Limit() int64 { return store.limit }

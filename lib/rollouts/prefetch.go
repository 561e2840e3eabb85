package rollouts

// This file fetches the chunks of a version before the host may load it.

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"firford/lib/configurations"
	"firford/lib/platform"
	"firford/lib/waits"
	"firford/lib/weights"
)

const (
	initialFetchDelay = 500 * time.Millisecond
	maxFetchDelay     = 10 * time.Second
)

type (
	// prefetcher fetches all chunks of a version before the host acquires a slot, so
	// that the slot is held only while the engine loads. Fetching after acquiring a
	// slot was rejected, because each group of hosts that loads at the same time
	// would wait for a whole transfer.
	prefetcher struct {
		objects platform.ObjectStore
		chunks  ChunkSource
		logger  *zap.Logger
		wake    func()

		mutex   sync.Mutex
		fetches map[string]*versionFetch
	}

	// versionFetch is the fetch of one version. manifest is set once complete is
	// true.
	versionFetch struct {
		cancel   context.CancelFunc
		manifest weights.Manifest
		complete bool
	}
)

// setWanted starts a fetch of each of the versions that is not being fetched, and
// stops the fetches of all others. A plan has at most two versions, which limits
// the number of goroutines.
func (prefetcher *prefetcher) setWanted(ctx context.Context, versions []configurations.Version) {
	prefetcher.mutex.Lock()
	defer prefetcher.mutex.Unlock()
	wanted := map[string]bool{}
	for _, version := range versions {
		wanted[version.Name] = true
		if _, known := prefetcher.fetches[version.Name]; known {
			continue
		}
		fetchCtx, cancel := context.WithCancel(ctx)
		started := &versionFetch{cancel: cancel}
		prefetcher.fetches[version.Name] = started
		go prefetcher.fetchWithRetries(fetchCtx, version, started)
	}
	for name, started := range prefetcher.fetches {
		if !wanted[name] {
			started.cancel()
			delete(prefetcher.fetches, name)
		}
	}
}

// discard forgets the fetch of a version, so that the next call of setWanted
// starts it again.
func (prefetcher *prefetcher) discard(version string) {
	prefetcher.mutex.Lock()
	defer prefetcher.mutex.Unlock()
	if started, known := prefetcher.fetches[version]; known {
		started.cancel()
		delete(prefetcher.fetches, version)
	}
}

// completeManifest returns the manifest of a version and true if all of its chunks
// were fetched to this host.
func (prefetcher *prefetcher) completeManifest(version string) (weights.Manifest, bool) {
	prefetcher.mutex.Lock()
	defer prefetcher.mutex.Unlock()
	started, known := prefetcher.fetches[version]
	if !known || !started.complete {
		return weights.Manifest{}, false
	}
	return started.manifest, true
}

// fetchWithRetries fetches a version until that succeeds or the context ends, and
// then wakes the control loop.
func (prefetcher *prefetcher) fetchWithRetries(ctx context.Context, version configurations.Version, started *versionFetch) {
	delay := initialFetchDelay
	for ctx.Err() == nil {
		manifest, err := prefetcher.fetchOnce(ctx, version)
		if err == nil {
			prefetcher.mutex.Lock()
			started.manifest, started.complete = manifest, true
			prefetcher.mutex.Unlock()
			prefetcher.logger.Info("all chunks of the version are on this host", zap.String("version", version.Name))
			prefetcher.wake()
			return
		}
		if ctx.Err() == nil {
			prefetcher.logger.Warn("fetch of the version failed", zap.String("version", version.Name), zap.Error(err))
		}
		waits.Sleep(ctx, delay)
		delay = min(delay*2, maxFetchDelay)
	}
}

// fetchOnce reads the manifest of a version and fetches its chunks.
func (prefetcher *prefetcher) fetchOnce(ctx context.Context, version configurations.Version) (weights.Manifest, error) {
	digest, err := weights.ParseDigest(version.ManifestDigest)
	if err != nil {
		return weights.Manifest{}, err
	}
	encoded, err := prefetcher.objects.Get(ctx, weights.ManifestObjectName(digest))
	if err != nil {
		return weights.Manifest{}, fmt.Errorf("read manifest: %w", err)
	}
	manifest, err := weights.DecodeManifest(encoded, digest)
	if err != nil {
		return weights.Manifest{}, err
	}
	return manifest, prefetcher.chunks.FetchChunks(ctx, manifest)
}

// errChunkMissing is returned if a chunk was evicted after all chunks of its
// version had been fetched.
var errChunkMissing = errors.New("a chunk is no longer on this host")

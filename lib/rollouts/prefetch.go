package rollouts

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"firford/lib/configurations"
	"firford/lib/platform"
	"firford/lib/weights"
)

const (
	firstFetchPause = 500 * time.Millisecond
	maxFetchPause   = 10 * time.Second
)

type (
	// prefetcher makes versions whole on this host before their turn to load, so
	// that a slot is held only while the engine loads. Fetching after a slot was
	// taken was dropped: each wave of hosts would wait for a whole transfer.
	prefetcher struct {
		objects platform.ObjectStore
		chunks  ChunkSource
		logger  *zap.Logger
		wake    func()

		mutex   sync.Mutex
		fetches map[string]*fetch
	}

	fetch struct {
		cancel   context.CancelFunc
		manifest weights.Manifest
		whole    bool
	}
)

// want makes the versions the ones that are fetched and stops all others. A
// plan has at most two versions, which bounds the goroutines.
func (prefetcher *prefetcher) want(ctx context.Context, versions []configurations.Version) {
	prefetcher.mutex.Lock()
	defer prefetcher.mutex.Unlock()
	wanted := map[string]bool{}
	for _, version := range versions {
		wanted[version.Name] = true
		if _, known := prefetcher.fetches[version.Name]; known {
			continue
		}
		fetchCtx, cancel := context.WithCancel(ctx)
		started := &fetch{cancel: cancel}
		prefetcher.fetches[version.Name] = started
		go prefetcher.run(fetchCtx, version, started)
	}
	for name, started := range prefetcher.fetches {
		if !wanted[name] {
			started.cancel()
			delete(prefetcher.fetches, name)
		}
	}
}

// drop makes the next want fetch the version again.
func (prefetcher *prefetcher) drop(version string) {
	prefetcher.mutex.Lock()
	defer prefetcher.mutex.Unlock()
	if started, known := prefetcher.fetches[version]; known {
		started.cancel()
		delete(prefetcher.fetches, version)
	}
}

// whole returns the manifest of a version whose chunks are all here.
func (prefetcher *prefetcher) whole(version string) (weights.Manifest, bool) {
	prefetcher.mutex.Lock()
	defer prefetcher.mutex.Unlock()
	started, known := prefetcher.fetches[version]
	if !known || !started.whole {
		return weights.Manifest{}, false
	}
	return started.manifest, true
}

func (prefetcher *prefetcher) run(ctx context.Context, version configurations.Version, started *fetch) {
	pause := firstFetchPause
	for ctx.Err() == nil {
		manifest, err := prefetcher.fetch(ctx, version)
		if err == nil {
			prefetcher.mutex.Lock()
			started.manifest, started.whole = manifest, true
			prefetcher.mutex.Unlock()
			prefetcher.logger.Info("version whole on this host", zap.String("version", version.Name))
			prefetcher.wake()
			return
		}
		if ctx.Err() == nil {
			prefetcher.logger.Warn("version not fetched", zap.String("version", version.Name), zap.Error(err))
		}
		sleep(ctx, pause)
		pause = min(pause*2, maxFetchPause)
	}
}

func (prefetcher *prefetcher) fetch(ctx context.Context, version configurations.Version) (weights.Manifest, error) {
	digest, err := weights.ParseDigest(version.ManifestDigest)
	if err != nil {
		return weights.Manifest{}, err
	}
	encoded, err := prefetcher.objects.Get(ctx, weights.ObjectName(digest))
	if err != nil {
		return weights.Manifest{}, fmt.Errorf("read manifest: %w", err)
	}
	manifest, err := weights.Decode(encoded, digest)
	if err != nil {
		return weights.Manifest{}, err
	}
	return manifest, prefetcher.chunks.FetchChunks(ctx, manifest)
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// errChunkMissing tells that a chunk of a whole version is no longer here.
var errChunkMissing = errors.New("a chunk is no longer on this host")

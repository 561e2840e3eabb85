package stagings

// This file finds the manifest of a version, at the store, at other agents or at the
// origin.

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
)

const (
	// manifestPiece is the piece from whose sources the manifest is also requested.
	manifestPiece = 0
	// manifestTimeout is how long to wait for a manifest that its source is still
	// fetching, and maxManifestPeers limits from how many peers it is requested.
	manifestTimeout  = 800 * time.Millisecond
	maxManifestPeers = 2
)

// findManifest looks for the manifest in the store and, if it has none, at its other
// sources.
func (node *Node) findManifest(ctx context.Context, target Target) (Manifest, bool) {
	if manifest, found := node.loadStoredManifest(ctx, target); found {
		return manifest, true
	}
	return node.fetchManifest(ctx, target)
}

// loadStoredManifest returns the manifest from the store, false if it has none that is valid.
func (node *Node) loadStoredManifest(ctx context.Context, target Target) (Manifest, bool) {
	manifest, err := node.ManifestStore.LoadManifest(ctx, target.Model, target.Version)
	if err == nil {
		err = manifest.Validate(target.Model, target.Version, target.Pieces)
	}
	if err != nil {
		node.Logger.Debug("manifest not available from the store", zap.Int("version", target.Version), zap.Error(err))
		return Manifest{}, false
	}
	return manifest, true
}

// fetchManifest requests the manifest from the agent that reads it for this region, and
// from the origin if this agent is responsible for reading it or if no other source has it.
// It returns false if no source has a valid one.
func (node *Node) fetchManifest(ctx context.Context, target Target) (Manifest, bool) {
	sources := node.planFor(target).Sources(manifestPiece)
	if len(sources) > maxManifestPeers {
		sources = append(sources[:maxManifestPeers:maxManifestPeers], Source{Origin: true})
	}
	deadline := time.Now().Add(manifestTimeout)
	for _, source := range sources {
		manifest, err := node.readManifestFrom(ctx, source, target)
		for errors.Is(err, errPending) && ctx.Err() == nil && time.Now().Before(deadline) {
			manifest, err = node.readManifestFrom(ctx, source, target)
		}
		if err == nil {
			err = manifest.Validate(target.Model, target.Version, target.Pieces)
		}
		if err == nil {
			return manifest, true
		}
		if ctx.Err() != nil {
			return Manifest{}, false
		}
		node.Logger.Info("manifest not available from source", zap.Int("version", target.Version), zap.Bool("origin", source.Origin),
			zap.String("peer", source.Host.Name), zap.Error(err))
	}
	return Manifest{}, false
}

func (node *Node) readManifestFrom(ctx context.Context, source Source, target Target) (Manifest, error) {
	if !source.Origin {
		return node.peerClient.fetchManifest(source.Host.ChunkAddress, target.Model, target.Version)
	}
	manifest, err := readAgreedManifest(ctx, node.Origin, target.Model, target.Version)
	if err == nil {
		go node.saveManifest(ctx, manifest)
	}
	return manifest, err
}

// saveManifest saves a manifest in the store, for agents that start when no peer
// has it.
func (node *Node) saveManifest(ctx context.Context, manifest Manifest) {
	if err := node.ManifestStore.SaveManifest(ctx, manifest); err != nil {
		node.Logger.Warn("failed to save manifest", zap.Int("version", manifest.Version), zap.Error(err))
	}
}

// readAgreedManifest reads the manifest from the origin until two reads agree,
// because the origin may send corrupt data and nothing else authenticates a
// manifest.
func readAgreedManifest(ctx context.Context, origin Origin, model string, version int) (Manifest, error) {
	const maxReads = 4
	var seen []Manifest
	var lastErr error
	for range maxReads {
		manifest, err := origin.Manifest(ctx, model, version)
		if err != nil {
			lastErr = err
			continue
		}
		for _, earlier := range seen {
			if earlier.Equal(manifest) {
				return manifest, nil
			}
		}
		seen = append(seen, manifest)
	}
	if lastErr == nil {
		lastErr = errDisagreed
	}
	return Manifest{}, lastErr
}

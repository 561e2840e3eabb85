package stagings

// When the store comes back from an older copy of itself, the manifests that agents saved
// since are gone. The agents that hold them save them again, so that an agent which
// starts when the origin is unavailable still finds them. One agent does it and two more
// look after it, since a store call of each of some hundred agents would add nothing.

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"firford/lib/hosts"
	"firford/lib/platform"
	"firford/lib/waits"
)

const (
	// manifestKeepers is how many agents look after the manifest of a version. The first
	// one acts within half a manifestTurn, the next ones a manifestTurn later each.
	manifestKeepers = 3
	manifestTurn    = 2 * time.Second
	// maxManifestAttempts bounds how often an agent looks whether the manifest is there.
	maxManifestAttempts = 8
)

// RestoreManifests saves the manifests of the versions that this agent holds, unless they
// are in the store. It returns when that is settled for all or the context ends.
func (node *Node) RestoreManifests(ctx context.Context) {
	for _, manifest := range node.heldManifests() {
		rank := node.keeperRank(manifest)
		if rank >= manifestKeepers {
			continue
		}
		waits.Sleep(ctx, time.Duration(rank)*manifestTurn+rand.N(manifestTurn/2))
		node.restoreManifest(ctx, manifest)
	}
}

func (node *Node) heldManifests() []Manifest {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	var manifests []Manifest
	for _, content := range node.contents {
		manifests = append(manifests, content.manifest)
	}
	return manifests
}

// keeperRank returns the position of this agent among those that look after the
// manifest.
func (node *Node) keeperRank(manifest Manifest) int {
	var agents []hosts.Host
	for _, peer := range node.FleetView().Peers {
		agents = append(agents, peer.Host)
	}
	for rank, host := range hosts.Rank(versionKey(manifest.Model, manifest.Version), agents) {
		if host.Name == node.Self.Name {
			return rank
		}
	}
	return len(agents)
}

// restoreManifest saves a manifest until it finds it in the store. A write whose answer
// was lost is settled by the next read.
func (node *Node) restoreManifest(ctx context.Context, manifest Manifest) {
	fields := []zap.Field{zap.String("model", manifest.Model), zap.Int("version", manifest.Version)}
	for attempt := range maxManifestAttempts {
		stored, err := node.ManifestStore.LoadManifest(ctx, manifest.Model, manifest.Version)
		switch {
		case err == nil && stored.Equal(manifest):
			node.Logger.Info("manifest is in the store", append(fields, zap.Int("saves", attempt))...)
			return
		case err == nil:
			// Each agent checks pieces by its own manifest, on which two reads of the origin
			// agreed, so no engine loads a mixture.
			node.Logger.Error("the store holds another manifest of the version", fields...)
			return
		case errors.Is(err, platform.ErrNotFound):
			node.saveManifest(ctx, manifest)
		default:
			waits.Sleep(ctx, manifestTurn/2+rand.N(manifestTurn))
		}
		if ctx.Err() != nil {
			return
		}
	}
	node.Logger.Warn("failed to save manifest again", fields...)
}

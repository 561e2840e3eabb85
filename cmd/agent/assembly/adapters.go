package assembly

import (
	"context"
	"errors"
	"fmt"
	"time"

	"firford/lib/configurations"
	"firford/lib/engines"
	"firford/lib/hosts"
	"firford/lib/rollouts"
	"firford/lib/transfers"
	"firford/lib/weights"
)

const (
	// hostRefreshInterval is how often a transfer updates its list of hosts.
	hostRefreshInterval = time.Second
	// chunkPollInterval is the pause before a chunk that has been evicted is looked
	// up again.
	chunkPollInterval = 100 * time.Millisecond
)

type (
	// loaderEngine sends the loader's orders to the backend server.
	loaderEngine struct {
		client *engines.Client
	}

	// chunkSource fetches the chunks of a version for the loader.
	chunkSource struct {
		agent *agent
	}
)

// Status implements rollouts.Engine.
func (engine loaderEngine) Status(ctx context.Context) (rollouts.Status, error) {
	status, err := engine.client.Status(ctx)
	return rollouts.Status{
		Version: status.Version, ManifestDigest: status.ManifestDigest, OrderID: status.OrderID,
		FailedOrder: status.FailedOrder, Loading: status.Loading, Leaving: status.Leaving,
	}, err
}

// SendOrder implements rollouts.Engine.
func (engine loaderEngine) SendOrder(ctx context.Context, order rollouts.Order) error {
	return translateOrderError(engine.client.SendOrder(ctx, engines.Order(order)))
}

// SendPiece implements rollouts.Engine.
func (engine loaderEngine) SendPiece(ctx context.Context, orderID string, index int, content []byte) error {
	return translateOrderError(engine.client.SendPiece(ctx, orderID, index, content))
}

// CommitOrder implements rollouts.Engine.
func (engine loaderEngine) CommitOrder(ctx context.Context, orderID string, fencingToken int64) error {
	return translateOrderError(engine.client.CommitOrder(ctx, orderID, fencingToken))
}

// translateOrderError makes a stale fencing token recognisable for the loader.
func translateOrderError(err error) error {
	if engines.HasRefusalCode(err, engines.CodeStaleToken) {
		return fmt.Errorf("%w: %w", rollouts.ErrStaleToken, err)
	}
	return err
}

// FetchChunks implements rollouts.ChunkSource. While it waits, it keeps the
// transfer's list of hosts up to date.
func (source chunkSource) FetchChunks(ctx context.Context, manifest weights.Manifest) error {
	digest := manifest.Digest()
	for {
		if err := source.agent.transfers.SetTarget(source.transferTarget(manifest)); err != nil {
			return err
		}
		waitCtx, cancel := context.WithTimeout(ctx, hostRefreshInterval)
		err := source.agent.transfers.WaitComplete(waitCtx, digest)
		cancel()
		if err == nil || ctx.Err() != nil || !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
	}
}

// transferTarget returns what transfers need to fetch the manifest's chunks: the
// settings of the deployment and the hosts that run it.
func (source chunkSource) transferTarget(manifest weights.Manifest) transfers.Target {
	agent := source.agent
	snapshot := agent.configuration.Current()
	deployment, _, _ := configurations.Lookup[configurations.Deployment](snapshot, agent.settings.Deployment)
	return transfers.Target{
		Deployment: deployment.Name, Policy: deployment.Policy, OriginLinkShare: deployment.OriginLinkShare, Manifest: manifest,
		Hosts: hosts.Select(agent.watcher.Current(), func(host hosts.Host) bool {
			return host.Role == hosts.RoleAgent && host.Deployment == deployment.Name
		}),
	}
}

// Chunk implements rollouts.ChunkSource. If the store does not hold the chunk,
// it waits for it until the context ends.
func (source chunkSource) Chunk(ctx context.Context, digest weights.Digest) ([]byte, error) {
	for {
		if content, held := source.agent.transfers.Chunk(digest); held {
			return content, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("chunk %s is not available: %w", digest, ctx.Err())
		case <-time.After(chunkPollInterval):
		}
	}
}

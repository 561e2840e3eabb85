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
	// membersPoll is how often a transfer takes in hosts that came or went.
	membersPoll = time.Second
	// chunkPoll is the pause before a chunk that has been evicted is asked for again.
	chunkPoll = 100 * time.Millisecond
)

type (
	// orders gives the loader's orders to the backend server.
	orders struct {
		client *engines.Client
	}

	// chunkSource gives the loader the versions that this host has fetched.
	chunkSource struct {
		agent *agent
	}
)

// Status implements rollouts.Engine.
func (orders orders) Status(ctx context.Context) (rollouts.Status, error) {
	status, err := orders.client.Status(ctx)
	return rollouts.Status{
		Version: status.Version, ManifestDigest: status.ManifestDigest, OrderID: status.OrderID,
		FailedOrder: status.FailedOrder, Loading: status.Loading, Leaving: status.Leaving,
	}, err
}

// Order implements rollouts.Engine.
func (orders orders) Order(ctx context.Context, order rollouts.Order) error {
	return orderError(orders.client.SendOrder(ctx, engines.Order(order)))
}

// Piece implements rollouts.Engine.
func (orders orders) Piece(ctx context.Context, orderID string, index int, content []byte) error {
	return orderError(orders.client.SendPiece(ctx, orderID, index, content))
}

// Commit implements rollouts.Engine.
func (orders orders) Commit(ctx context.Context, orderID string, fencingToken int64) error {
	return orderError(orders.client.CommitOrder(ctx, orderID, fencingToken))
}

func orderError(err error) error {
	if engines.HasRefusalCode(err, engines.CodeStaleToken) {
		return fmt.Errorf("%w: %w", rollouts.ErrStaleToken, err)
	}
	return err
}

// FetchChunks implements rollouts.ChunkSource. It keeps the list of hosts that
// take part current while it waits.
func (source chunkSource) FetchChunks(ctx context.Context, manifest weights.Manifest) error {
	digest := manifest.Digest()
	for {
		if err := source.agent.transfers.SetTarget(source.target(manifest)); err != nil {
			return err
		}
		round, cancel := context.WithTimeout(ctx, membersPoll)
		err := source.agent.transfers.WaitComplete(round, digest)
		cancel()
		if err == nil || ctx.Err() != nil || !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
	}
}

func (source chunkSource) target(manifest weights.Manifest) transfers.Target {
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

// Chunk implements rollouts.ChunkSource.
func (source chunkSource) Chunk(ctx context.Context, digest weights.Digest) ([]byte, error) {
	for {
		if content, held := source.agent.transfers.Chunk(digest); held {
			return content, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("chunk %s is not held: %w", digest, ctx.Err())
		case <-time.After(chunkPoll):
		}
	}
}

package rollouts

import (
	"context"
	"errors"

	"firford/lib/configurations"
	"firford/lib/weights"
)

type (
	// Order asks an engine to load one version. OrderID is unique to one attempt
	// of one agent; FencingToken grows with each agent that takes over the engine.
	Order struct {
		FencingToken   int64
		OrderID        string
		ManifestDigest string
		Version        string
		Size           int64
	}

	// Status is what an engine reports of itself. OrderID is the order that loaded
	// Version. FailedOrder is the last order whose load failed, where the engine
	// reports it. Loading is set from the commit of an order to its end.
	Status struct {
		Version        string
		ManifestDigest string
		OrderID        string
		FailedOrder    string
		Loading        bool
		Leaving        bool
	}

	// Engine gives orders to one engine. Order, Piece and Commit may be repeated
	// with the same arguments. They return ErrStaleToken when the engine refuses
	// the fencing token; after any other error the call may have taken effect.
	Engine interface {
		Status(ctx context.Context) (Status, error)
		Order(ctx context.Context, order Order) error
		Piece(ctx context.Context, orderID string, index int, content []byte) error
		Commit(ctx context.Context, orderID string, fencingToken int64) error
	}

	// ChunkSource holds the verified chunks of versions on this host.
	ChunkSource interface {
		// FetchChunks starts the transfer of a version and returns when Chunk can
		// return each of its chunks, or when the context ends.
		FetchChunks(ctx context.Context, manifest weights.Manifest) error
		Chunk(ctx context.Context, digest weights.Digest) ([]byte, error)
	}

	// ChangeFunc replaces a configuration object if the last change of the present
	// one has the revision. The request id makes repeats harmless.
	ChangeFunc func(ctx context.Context, requestID string, object configurations.Object, revision int64) error
)

var (
	// ErrStaleToken is returned by an engine that has seen a higher fencing token.
	ErrStaleToken = errors.New("the engine has seen a higher fencing token")
	// ErrFenced ends a loader whose host has been taken over by a later agent.
	ErrFenced = errors.New("a later agent has taken the fencing token of this host")
)

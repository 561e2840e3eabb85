package rollouts

// This file declares what a loader needs from outside: the engine that it
// controls, a source of chunks and a way to change the configuration.

import (
	"context"
	"errors"

	"firford/lib/configurations"
	"firford/lib/weights"
)

type (
	// Order asks an engine to load one version. OrderID is unique to one load by
	// one agent. FencingToken increases with each agent that takes over the engine.
	// Size is the size of the version in bytes.
	Order struct {
		FencingToken   int64
		OrderID        string
		ManifestDigest string
		Version        string
		Size           int64
	}

	// Status is the status that an engine reports. OrderID is the order that loaded
	// Version. FailedOrder is the last order whose load failed, if the engine
	// reports it. Loading is true from the commit of an order until the load ends.
	Status struct {
		Version        string
		ManifestDigest string
		OrderID        string
		FailedOrder    string
		Loading        bool
		Leaving        bool
	}

	// Engine is a client of one engine. SendOrder, SendPiece and CommitOrder may be
	// repeated with the same arguments. They return ErrStaleToken if the engine
	// refuses the fencing token. After any other error the call may have taken
	// effect.
	Engine interface {
		Status(ctx context.Context) (Status, error)
		SendOrder(ctx context.Context, order Order) error
		SendPiece(ctx context.Context, orderID string, index int, content []byte) error
		CommitOrder(ctx context.Context, orderID string, fencingToken int64) error
	}

	// ChunkSource provides the verified chunks of versions on this host.
	ChunkSource interface {
		// FetchChunks transfers a version to this host. It returns when Chunk can
		// return each of its chunks, or when the context ends.
		FetchChunks(ctx context.Context, manifest weights.Manifest) error
		// Chunk returns the content of a chunk. It may wait until the context ends if
		// the chunk is not on this host.
		Chunk(ctx context.Context, digest weights.Digest) ([]byte, error)
	}

	// ChangeFunc replaces a configuration object if the object was last changed at
	// the revision. Repeating a call with the same request id is harmless.
	ChangeFunc func(ctx context.Context, requestID string, object configurations.Object, revision int64) error
)

var (
	// ErrStaleToken is returned by an Engine whose engine has seen a higher fencing
	// token.
	ErrStaleToken = errors.New("the engine has seen a higher fencing token")
	// ErrFenced is returned by Loader.Run after a later agent has taken over the
	// host.
	ErrFenced = errors.New("a later agent has taken the fencing token of this host")
)

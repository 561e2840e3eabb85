package selections

import "firford/lib/weights"

// Origin is the value of From for requests to the weight origin instead of a
// neighbour.
const Origin = ""

// Reasons for which a request fails.
const (
	// Busy means that the sender refused because its queue is full.
	Busy FailureReason = iota
	// Missing means that the sender does not hold the chunk any more.
	Missing
	// Broken means that the connection failed or made no progress, that the sender
	// answered with another error, or that the chunk could not be stored.
	Broken
	// WrongDigest means that the content does not have the digest of the chunk.
	WrongDigest
)

type (
	// FailureReason tells why a request failed.
	FailureReason int

	// Event is an input of State.Step. All implementations are in this file.
	Event interface{ event() }

	// Tick carries no change. It lets the state react to the time that has passed.
	Tick struct{}

	// ChunksAnnounced reports the chunks that a neighbour holds. With Snapshot,
	// Held replaces what the neighbour announced before; Added is added to it.
	ChunksAnnounced struct {
		Neighbour string
		Snapshot  bool
		Held      weights.Set
		Added     []int
	}

	// NeighbourDisconnected reports that the link to a neighbour has ended.
	NeighbourDisconnected struct{ Neighbour string }

	// ChunkReceived reports that a chunk arrived and was verified and stored.
	ChunkReceived struct {
		Chunk int
		From  string
	}

	// RequestFailed reports that a request ended without a chunk.
	RequestFailed struct {
		Chunk  int
		From   string
		Reason FailureReason
	}

	// ChunkEvicted reports that this host no longer holds a chunk.
	ChunkEvicted struct{ Chunk int }

	// Request is a request for a chunk that the transfer is to send. From is a
	// neighbour's name or Origin.
	Request struct {
		Chunk int
		From  string
	}
)

func (Tick) event()                  {}
func (ChunksAnnounced) event()       {}
func (NeighbourDisconnected) event() {}
func (ChunkReceived) event()         {}
func (RequestFailed) event()         {}
func (ChunkEvicted) event()          {}

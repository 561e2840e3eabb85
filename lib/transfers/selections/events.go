package selections

import "firford/lib/weights"

// Origin is the sender's name of a request to the weight origin.
const Origin = ""

// Reasons of a failed request.
const (
	// Busy means that the sender refused because its queue is full.
	Busy FailureReason = iota
	// Missing means that the sender does not hold the chunk any more.
	Missing
	// Broken means that the connection failed or made no progress.
	Broken
	// WrongDigest means that the content was not the chunk.
	WrongDigest
)

type (
	// FailureReason tells why a request failed.
	FailureReason int

	// Event is an event that a transfer reacts to. The types of this file are
	// all of its implementations.
	Event interface{ event() }

	// Tick lets the time pass.
	Tick struct{}

	// ChunksAnnounced tells which chunks a neighbour holds: all of Held when Snapshot is
	// set, otherwise Added beside those announced before.
	ChunksAnnounced struct {
		Neighbour string
		Snapshot  bool
		Held      weights.Set
		Added     []int
	}

	// NeighbourDisconnected tells that the link to a neighbour has ended.
	NeighbourDisconnected struct{ Neighbour string }

	// ChunkReceived tells that a chunk arrived and was verified and stored.
	ChunkReceived struct {
		Chunk int
		From  string
	}

	// RequestFailed tells that a request ended without a chunk.
	RequestFailed struct {
		Chunk  int
		From   string
		Reason FailureReason
	}

	// ChunkEvicted tells that a chunk is no longer held.
	ChunkEvicted struct{ Chunk int }

	// Request is a request that the transfer decided on. From is a neighbour's name
	// or Origin.
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

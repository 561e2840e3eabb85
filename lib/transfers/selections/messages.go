package selections

import "firford/lib/weights"

// Origin is the sender's name of a request to the weight origin.
const Origin = ""

// Reasons of a failed request.
const (
	// Busy means that the sender refused because its queue is full.
	Busy Reason = iota
	// Missing means that the sender does not hold the chunk any more.
	Missing
	// Broken means that the connection failed or made no progress.
	Broken
	// WrongDigest means that the content was not the chunk.
	WrongDigest
)

type (
	// Reason tells why a request failed.
	Reason int

	// Message is an event that a transfer reacts to. The types of this file are
	// all of its implementations.
	Message interface{ message() }

	// Tick lets the time pass.
	Tick struct{}

	// Announced tells which chunks a neighbour holds: all of Has when Whole is
	// set, otherwise Added beside those announced before.
	Announced struct {
		Neighbour string
		Whole     bool
		Has       weights.Set
		Added     []int
	}

	// Lost tells that the link to a neighbour has ended.
	Lost struct{ Neighbour string }

	// Received tells that a chunk arrived and was verified and stored.
	Received struct {
		Chunk int
		From  string
	}

	// Failed tells that a request ended without a chunk.
	Failed struct {
		Chunk  int
		From   string
		Reason Reason
	}

	// Evicted tells that a chunk is no longer held.
	Evicted struct{ Chunk int }

	// Ask is a request that the transfer decided on. From is a neighbour's name
	// or Origin.
	Ask struct {
		Chunk int
		From  string
	}
)

func (Tick) message()      {}
func (Announced) message() {}
func (Lost) message()      {}
func (Received) message()  {}
func (Failed) message()    {}
func (Evicted) message()   {}

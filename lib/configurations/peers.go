package configurations

// This file holds the messages between processes and the way to the processes
// that a node exchanges revisions with.

import (
	"context"

	"firford/lib/hosts"
	"firford/lib/links"
)

const (
	methodOffer  = "configuration.offer"
	methodPull   = "configuration.pull"
	methodStatus = "configuration.status"

	// neighbourCount is about how many processes a node forwards revisions to.
	// With 6, a change reaches 1,290 processes in about 5 hops.
	neighbourCount = 6
)

type (
	// Peer is a process at the other end of a link. *links.Link implements it.
	Peer interface {
		Peer() links.Identity
		Call(ctx context.Context, method string, params, result any) error
		Notify(method string, params any) error
	}

	// peerSet keeps connections to the wanted hosts.
	peerSet interface {
		Keep(wanted []hosts.Host)
		Peers() []Peer
	}

	linkedPeers struct {
		pool *links.Pool
	}

	offerParams struct {
		Revision int64    `json:"revision"`
		Changes  []Change `json:"changes,omitempty"`
	}

	pullParams struct {
		After int64 `json:"after"`
	}

	// pullResult carries the changes after the asked revision or, when the gap is
	// longer than what the peer remembers, the whole configuration.
	pullResult struct {
		Revision int64    `json:"revision"`
		Changes  []Change `json:"changes,omitempty"`
		Whole    bool     `json:"whole,omitempty"`
		Entries  []Entry  `json:"entries,omitempty"`
	}

	beatPayload struct {
		Revision int64 `json:"revision"`
	}

	statusParams struct{}

	// Status is what a process says of its configuration: the revision in force
	// and the newest revision that it has heard of.
	Status struct {
		Revision int64 `json:"revision"`
		Applied  int64 `json:"applied"`
	}
)

func newLinkedPeers(ctx context.Context, options links.Options, onOpen func(Peer)) peerSet {
	pool := links.NewPool(ctx, options, func(_ hosts.Host, link *links.Link) { onOpen(link) })
	return linkedPeers{pool: pool}
}

func (peers linkedPeers) Keep(wanted []hosts.Host) {
	peers.pool.SetHosts(wanted)
}

func (peers linkedPeers) Peers() []Peer {
	var open []Peer
	for _, link := range peers.pool.OpenLinks() {
		open = append(open, link)
	}
	return open
}

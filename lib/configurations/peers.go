package configurations

// This file defines the messages that nodes exchange and the connections to the
// peers that they exchange them with.

import (
	"context"

	"firford/lib/hosts"
	"firford/lib/links"
)

const (
	methodOffer  = "configuration.offer"
	methodPull   = "configuration.pull"
	methodStatus = "configuration.status"

	// neighbourCount is the approximate number of processes that a node forwards
	// revisions to. With 6, a change reaches 1,290 processes in about 5 hops.
	neighbourCount = 6
)

type (
	// Peer is the process at the other end of a link. It is implemented by
	// *links.Link.
	Peer interface {
		Peer() links.Identity
		Call(ctx context.Context, method string, params, result any) error
		Notify(method string, params any) error
	}

	// peerSet maintains connections to a set of hosts. SetHosts replaces the set
	// and Peers returns the hosts to which a connection is open.
	peerSet interface {
		SetHosts(wanted []hosts.Host)
		Peers() []Peer
	}

	// linkPeerSet is the peerSet that connects over links.
	linkPeerSet struct {
		pool *links.Pool
	}

	// offerParams announces the sender's revision. Changes is empty if the receiver
	// is missing more changes than fit into an offer.
	offerParams struct {
		Revision int64    `json:"revision"`
		Changes  []Change `json:"changes,omitempty"`
	}

	// pullParams asks for the changes after a revision.
	pullParams struct {
		After int64 `json:"after"`
	}

	// pullResult carries the changes after the requested revision. If they are too
	// many or no longer in the peer's memory, Full is set and Entries carries the
	// whole configuration.
	pullResult struct {
		Revision int64    `json:"revision"`
		Changes  []Change `json:"changes,omitempty"`
		Full     bool     `json:"whole,omitempty"`
		Entries  []Entry  `json:"entries,omitempty"`
	}

	// heartbeatPayload carries the sender's revision in the heartbeats of a link.
	heartbeatPayload struct {
		Revision int64 `json:"revision"`
	}

	statusParams struct{}

	// Status is the configuration state of one process: the newest revision that
	// it knows to exist and the revision that it has applied.
	Status struct {
		LatestRevision  int64 `json:"revision"`
		AppliedRevision int64 `json:"applied"`
	}
)

func newLinkPeerSet(ctx context.Context, options links.Options, onOpen func(Peer)) peerSet {
	pool := links.NewPool(ctx, options, func(_ hosts.Host, link *links.Link) { onOpen(link) })
	return linkPeerSet{pool: pool}
}

func (peers linkPeerSet) SetHosts(wanted []hosts.Host) {
	peers.pool.SetHosts(wanted)
}

func (peers linkPeerSet) Peers() []Peer {
	var open []Peer
	for _, link := range peers.pool.OpenLinks() {
		open = append(open, link)
	}
	return open
}

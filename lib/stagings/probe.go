package stagings

// The platform's server list holds the version that each engine served when its row
// was last changed. After a mass restart that is wrong for all engines, so an agent
// asks its peers which pieces they have before it plans a fetch. In a small fleet it
// asks all. Peers that do not answer are left out of the plan; since they do not answer
// any agent, the plans of all agents agree. In a larger fleet it asks a sample: if each
// agent asked all others, and again while pieces are missing, their hosts would do
// nothing else. Nobody is left out there, since agents that ask different peers would
// make different plans; other agents read the pieces of a reader that has stopped.

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"

	"go.uber.org/zap"

	"firford/lib/hosts"
	"firford/lib/weights"
)

const (
	// probeTimeout bounds the request for the pieces that a peer has.
	probeTimeout = connectTimeout
	// maxSmallFleet is the number of agents up to which each asks all others, and
	// sampledPeers how many it asks in a larger fleet.
	maxSmallFleet = 32
	sampledPeers  = 16
)

// isLargeFleet reports whether agents of a fleet of this size ask only some of the others.
func isLargeFleet(agents int) bool { return agents > maxSmallFleet }

// probePeers asks peers at the same time and returns the ones to plan with, each
// with the pieces of the content's version that it is known to have.
func (node *Node) probePeers(content *content, target Target) []Peer {
	listed := node.FleetView().Peers
	if !isLargeFleet(len(listed)) {
		return node.askPeers(content, listed)
	}
	answers := node.askPeers(content, node.planFor(target).sample(content.missing(), sampledPeers, rand.IntN))
	return withAnswers(listed, answers)
}

// askPeers returns the peers that answer, with the pieces that they have.
func (node *Node) askPeers(content *content, peers []Peer) []Peer {
	answers := make([]*Peer, len(peers))
	var group sync.WaitGroup
	for i, peer := range peers {
		if peer.Host.Name == node.Self.Name {
			continue
		}
		group.Go(func() {
			pieces, err := node.peerClient.heldPieces(peer.Host.ChunkAddress, content.manifest)
			if err != nil {
				node.Logger.Info("peer did not say which pieces it has", zap.String("peer", peer.Host.Name), zap.Error(err))
				return
			}
			answers[i] = &Peer{Host: peer.Host, Pieces: pieces}
		})
	}
	group.Wait()
	var answered []Peer
	for _, answer := range answers {
		if answer != nil {
			answered = append(answered, *answer)
		}
	}
	return answered
}

// withAnswers returns the listed peers with the pieces of those that answered.
func withAnswers(listed, answers []Peer) []Peer {
	pieces := map[string]weights.Set{}
	for _, answer := range answers {
		pieces[answer.Host.Name] = answer.Pieces
	}
	peers := make([]Peer, 0, len(listed))
	for _, peer := range listed {
		peers = append(peers, Peer{Host: peer.Host, Pieces: pieces[peer.Host.Name]})
	}
	return peers
}

// sample returns count peers that are likely to have missing pieces: up to half of them
// those that bring such pieces into the region or read them from the origin, then any,
// first of the region. Random returns an integer below its argument.
func (plan Plan) sample(missing []int, count int, random func(int) int) []Peer {
	var chosen []Peer
	seen := map[string]bool{plan.self.Name: true, "": true}
	add := func(limit int, list ...hosts.Host) {
		for _, host := range list {
			if len(chosen) < limit && !seen[host.Name] {
				seen[host.Name] = true
				chosen = append(chosen, Peer{Host: host})
			}
		}
	}
	first := random(max(1, len(missing)))
	for i := range missing {
		piece := missing[(i+first)%len(missing)]
		add(count/2, plan.regionalFetchers[plan.self.Region][piece], plan.originReaders[piece])
	}
	offset := random(max(1, len(plan.sameRegion)))
	for i := range plan.sameRegion {
		// The last quarter is left for other regions.
		add(count*3/4, plan.sameRegion[(i+offset)%len(plan.sameRegion)].Host)
	}
	for range plan.agents {
		add(count, plan.agents[random(len(plan.agents))])
	}
	return chosen
}

// heldPieces asks a peer which pieces of the version it has. A peer that does not
// know the version yet has none.
func (client *peerClient) heldPieces(address string, manifest Manifest) (weights.Set, error) {
	none := weights.NewSet(len(manifest.Digests))
	body, err := call(client.control, http.MethodGet, address, pathHeld+manifest.Model+"/"+strconv.Itoa(manifest.Version), nil, probeTimeout)
	if errors.Is(err, errPending) {
		return none, nil
	}
	if err != nil {
		return none, err
	}
	return weights.DecodeSet(string(body), len(manifest.Digests))
}

package stagings

// The platform's list tells which version an engine served when it last changed
// its entry. After a mass restart that is wrong for all of them, so an agent asks
// the others what they hold before it plans. Agents that do not answer are left
// out of the plan, and all agents see the same ones not answer.

import (
	"errors"
	"net/http"
	"strconv"
	"sync"

	"go.uber.org/zap"

	"firford/lib/weights"
)

// probeTimeout bounds the question whether a peer holds a version.
const probeTimeout = connectTimeout

// probe returns the peers that answer, with what they hold of the content's
// version.
func (node *Node) probe(content *content) []Peer {
	listed := node.FleetView().Peers
	answers := make([]*Peer, len(listed))
	var group sync.WaitGroup
	for i, peer := range listed {
		if peer.Host.Name == node.Self.Name {
			continue
		}
		group.Go(func() {
			pieces, err := node.peers.held(peer.Host.ChunkAddress, content.manifest)
			if err != nil {
				node.Logger.Info("peer left out of the plan", zap.String("peer", peer.Host.Name), zap.Error(err))
				return
			}
			answers[i] = &Peer{Host: peer.Host, Pieces: pieces}
		})
	}
	group.Wait()
	var peers []Peer
	for _, answer := range answers {
		if answer != nil {
			peers = append(peers, *answer)
		}
	}
	return peers
}

// held asks a peer which pieces of the version it holds. One that does not know
// the version yet holds none.
func (peers *peers) held(address string, manifest Manifest) (weights.Set, error) {
	none := weights.NewSet(len(manifest.Digests))
	body, err := peers.call(http.MethodGet, address, pathHeld+manifest.Model+"/"+strconv.Itoa(manifest.Version), nil, probeTimeout)
	if errors.Is(err, errPending) {
		return none, nil
	}
	if err != nil {
		return none, err
	}
	return weights.DecodeSet(string(body), len(manifest.Digests))
}

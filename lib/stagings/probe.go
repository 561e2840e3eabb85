package stagings

// The platform's list tells which version an engine served when it last changed
// its entry. After a mass restart that is wrong for all of them, so an agent asks
// the others what they hold before it plans. Agents that do not answer are left
// out of the plan, and all agents see the same ones not answer.

import (
	"net/http"
	"strconv"
	"sync"

	"go.uber.org/zap"
)

// probeTimeout bounds the question whether a peer holds a version.
const probeTimeout = connectTimeout

// probe returns the peers that answer, with what they hold of the content's
// version.
func (node *Node) probe(content *content) []Peer {
	listed := node.World().Peers
	answers := make([]*Peer, len(listed))
	var group sync.WaitGroup
	for i, peer := range listed {
		if peer.Host.Name == node.Self.Name {
			continue
		}
		group.Go(func() {
			holds, err := node.peers.holds(peer.Host.ChunkAddress, content.manifest.Model, content.manifest.Version)
			if err != nil {
				node.Logger.Info("peer left out of the plan", zap.String("peer", peer.Host.Name), zap.Error(err))
				return
			}
			answers[i] = &Peer{Host: peer.Host, Holds: holds}
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

// holds asks a peer whether it has all pieces of the version.
func (peers *peers) holds(address, model string, version int) (bool, error) {
	body, err := peers.call(http.MethodGet, address, pathHeld+model+"/"+strconv.Itoa(version), nil, probeTimeout)
	return string(body) == heldWhole, err
}

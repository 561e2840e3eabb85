package stagings

// The platform's server list holds the version that each engine served when its row
// was last changed. After a mass restart that is wrong for all engines, so an agent
// asks its peers which pieces they have before it plans a fetch. Peers that do not
// answer are left out of the plan; since they do not answer any agent, the plans
// of all agents agree.

import (
	"errors"
	"net/http"
	"strconv"
	"sync"

	"go.uber.org/zap"

	"firford/lib/weights"
)

// probeTimeout bounds the request for the pieces that a peer has.
const probeTimeout = connectTimeout

// probePeers asks all peers at the same time and returns those that answer, each
// with the pieces of the content's version that it has. It waits for all of them:
// agents that leave out different peers would make different plans.
func (node *Node) probePeers(content *content) []Peer {
	listed := node.FleetView().Peers
	answers := make([]*Peer, len(listed))
	var group sync.WaitGroup
	for i, peer := range listed {
		if peer.Host.Name == node.Self.Name {
			continue
		}
		group.Go(func() {
			pieces, err := node.peerClient.heldPieces(peer.Host.ChunkAddress, content.manifest)
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

// Package stagings brings the intended version of a model to one engine: it
// fetches the pieces from other agents or the origin, lays them beside the
// engine, checks what lies there and orders the engine to start it.
//
// Each piece enters a region once and leaves the origin once. Who fetches it
// from where follows from a rendezvous hash over the agents that each one sees;
// nobody coordinates. Agents that see different lists cause a second fetch, and
// never a gap, because every agent goes on to the next source when one fails.
package stagings

import (
	"strconv"

	"firford/lib/hosts"
)

type (
	// Peer is another agent, or this one. Holds is set when its engine serves the
	// version, so that it has all pieces.
	Peer struct {
		Host  hosts.Host
		Holds bool
	}

	// Source is where to fetch a piece. The origin has no host.
	Source struct {
		Origin bool
		Host   hosts.Host
	}

	// Surroundings are what an agent sees when it chooses a source.
	Surroundings struct {
		Self         hosts.Host
		Peers        []Peer
		OriginRegion string
	}
)

// Sources returns where to fetch a piece, the best first. The origin comes last
// unless this agent is the one that fetches the piece there.
func Sources(key string, piece int, seen Surroundings) []Source {
	rank := func(list []hosts.Host) []hosts.Host { return hosts.Rank(key+"/"+strconv.Itoa(piece), list) }
	ownRegion := func(host hosts.Host) bool { return host.Region == seen.Self.Region }
	fetching := append(seen.hosts(false), seen.Self)
	holding := seen.hosts(true)
	regional := rank(hosts.Select(fetching, ownRegion))

	var sources []Source
	add := func(list ...hosts.Host) {
		for _, host := range list {
			if host.Name != seen.Self.Name {
				sources = append(sources, Source{Host: host})
			}
		}
	}
	if regional[0].Name != seen.Self.Name {
		add(regional[0])
	}
	add(rank(hosts.Select(holding, ownRegion))...)
	add(rank(hosts.Select(holding, func(host hosts.Host) bool { return !ownRegion(host) }))...)
	if len(holding) == 0 {
		first := rank(hosts.Select(fetching, func(host hosts.Host) bool { return host.Region == seen.OriginRegion }))
		if len(first) == 0 {
			first = rank(fetching)
		}
		if first[0].Name == seen.Self.Name {
			return append([]Source{{Origin: true}}, sources...)
		}
		add(first[0])
	}
	if len(regional) > 1 {
		add(regional[1])
	}
	return append(sources, Source{Origin: true})
}

func (seen Surroundings) hosts(holding bool) []hosts.Host {
	var list []hosts.Host
	for _, peer := range seen.Peers {
		if peer.Holds == holding && peer.Host.Name != seen.Self.Name {
			list = append(list, peer.Host)
		}
	}
	return list
}

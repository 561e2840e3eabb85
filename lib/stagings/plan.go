// Package stagings brings the intended version of a model to one engine: it
// fetches the pieces from other agents or the origin, stages them at the engine,
// verifies the staged pieces and orders the engine to start the version.
//
// Each piece leaves the origin once and enters each region once. A rendezvous hash
// over the agents that an agent sees decides who fetches a piece from where, so no
// coordinator is needed. If agents see different lists, a piece may be fetched a
// second time, but none is left out, because every agent goes on to the next
// source when one fails.
package stagings

import (
	"strconv"

	"firford/lib/hosts"
	"firford/lib/weights"
)

const (
	// baseReplacements is how many agents may at first read a piece from the origin
	// in place of the responsible one, so that the loss of two of three agents does
	// no harm.
	baseReplacements = 2
	// patientFetches is the number of failed fetches after which agents of a large fleet
	// replace a reader that says that it is still reading.
	patientFetches = 2
	// maxDoublings limits how often that number is doubled. By then all agents of a
	// fleet of the designed size may read the piece.
	maxDoublings = 16
)

type (
	// Peer is another agent, or this one. Pieces is the set of the version's pieces
	// that it has.
	Peer struct {
		Host   hosts.Host
		Pieces weights.Set
	}

	// Source is where a piece can be fetched: the origin, which has no host, or the
	// agent of a host.
	Source struct {
		Origin bool
		Host   hosts.Host
	}

	// PlanInput is what an agent knows when it plans. FailedFetches counts the fetches
	// of the version that ended without all pieces.
	PlanInput struct {
		Self          hosts.Host
		Peers         []Peer
		FailedFetches int
	}

	// Plan assigns to each piece the agent that reads it from the origin, and for each
	// region the agent that brings it there. It is immutable. A piece that some agent
	// already has is not assigned to an origin reader; it is requested from that agent.
	Plan struct {
		key              string
		failedFetches    int
		self             hosts.Host
		agents           []hosts.Host
		originReaders    []hosts.Host
		regionalFetchers map[string][]hosts.Host
		sameRegion       []Peer
		otherRegions     []Peer
	}
)

// NewPlan returns the plan for fetching a version with this many pieces. The key
// identifies the version.
func NewPlan(key string, pieces int, input PlanInput) Plan {
	plan := Plan{key: key, failedFetches: input.FailedFetches, self: input.Self, agents: []hosts.Host{input.Self}, regionalFetchers: map[string][]hosts.Host{}}
	held := weights.NewSet(pieces)
	for _, peer := range input.Peers {
		if peer.Host.Name == input.Self.Name {
			continue
		}
		plan.agents = append(plan.agents, peer.Host)
		held = held.Union(peer.Pieces)
		if peer.Host.Region == input.Self.Region {
			plan.sameRegion = append(plan.sameRegion, peer)
		} else {
			plan.otherRegions = append(plan.otherRegions, peer)
		}
	}
	plan.originReaders = assignPieces(key, make([]hosts.Host, pieces), plan.agents)
	for _, piece := range held.Indices() {
		plan.originReaders[piece] = hosts.Host{}
	}
	for region, members := range groupByRegion(plan.agents) {
		plan.regionalFetchers[region] = assignPieces(key+"/"+region, plan.originReadersIn(region), members)
	}
	return plan
}

// withoutFirstPieces returns the peers without their pieces unless one has half of the
// count pieces of the version. Agents plan a few hundred milliseconds apart. If the
// first pieces that arrive meanwhile counted as held, the agents that plan last would
// not push them on.
func withoutFirstPieces(peers []Peer, count int) []Peer {
	list := make([]Peer, 0, len(peers))
	for _, peer := range peers {
		if 2*peer.Pieces.Count() >= count {
			return peers
		}
		list = append(list, Peer{Host: peer.Host, Pieces: weights.NewSet(count)})
	}
	return list
}

func groupByRegion(list []hosts.Host) map[string][]hosts.Host {
	regions := map[string][]hosts.Host{}
	for _, host := range list {
		regions[host.Region] = append(regions[host.Region], host)
	}
	return regions
}

// originReadersIn returns for each piece its origin reader if that is in the
// region. Origin readers also bring their pieces into their own region.
func (plan Plan) originReadersIn(region string) []hosts.Host {
	fixed := make([]hosts.Host, len(plan.originReaders))
	for piece, host := range plan.originReaders {
		if host.Region == region {
			fixed[piece] = host
		}
	}
	return fixed
}

// assignPieces assigns each piece that is not fixed yet to one host by rendezvous
// hash. No host gets more than its even share, because the slowest link decides
// when all hosts have a version.
func assignPieces(key string, fixed, candidates []hosts.Host) []hosts.Host {
	owners := append([]hosts.Host{}, fixed...)
	assigned := map[string]int{}
	for _, host := range fixed {
		assigned[host.Name]++
	}
	maxShare := (len(fixed) + len(candidates) - 1) / len(candidates)
	for piece := range owners {
		if owners[piece].Name != "" {
			continue
		}
		ranked := hosts.Rank(key+"/"+strconv.Itoa(piece), candidates)
		owners[piece] = ranked[0]
		for _, host := range ranked {
			if assigned[host.Name] < maxShare {
				owners[piece] = host
				break
			}
		}
		assigned[owners[piece].Name]++
	}
	return owners
}

// IsRegionalFetcher reports whether this agent brings the piece into its region.
func (plan Plan) IsRegionalFetcher(piece int) bool {
	return plan.regionalFetchers[plan.self.Region][piece].Name == plan.self.Name
}

// IsOriginReader reports whether this agent reads the piece from the origin.
func (plan Plan) IsOriginReader(piece int) bool {
	return plan.originReaders[piece].Name == plan.self.Name
}

// Receivers returns the agents that this one pushes the piece to as soon as it has
// it: first those that bring it into other regions, then those of its own region.
func (plan Plan) Receivers(piece int) []hosts.Host {
	if plan.originReaders[piece].Name == "" {
		return nil
	}
	var list []hosts.Host
	if plan.IsOriginReader(piece) {
		for region, owners := range plan.regionalFetchers {
			if region != plan.self.Region {
				list = append(list, owners[piece])
			}
		}
	}
	if !plan.IsRegionalFetcher(piece) {
		return list
	}
	own := hosts.Select(plan.agents, func(host hosts.Host) bool {
		return host.Region == plan.self.Region && host.Name != plan.self.Name
	})
	return append(list, rotated(own, piece)...)
}

// Sources returns where to request a piece, the best source first. The origin comes
// last, unless this agent is the one that reads the piece there. If another agent
// reads it, only a few agents may turn to the origin in its place, twice as many
// after each failed fetch: during an outage of the origin all agents would
// otherwise request all pieces from it, and once it is back it could not answer
// the agents that have to read them.
func (plan Plan) Sources(piece int) []Source {
	if plan.IsOriginReader(piece) {
		return []Source{{Origin: true}}
	}
	var sources []Source
	add := func(list ...hosts.Host) {
		for _, host := range list {
			if host.Name != plan.self.Name && host.Name != "" {
				sources = append(sources, Source{Host: host})
			}
		}
	}
	offset := piece + hosts.Position(plan.key+"/sources", plan.self.Name, plan.agents)
	add(rotated(holders(plan.sameRegion, piece), offset)...)
	add(plan.regionalFetchers[plan.self.Region][piece])
	add(rotated(holders(plan.otherRegions, piece), offset)...)
	add(plan.originReaders[piece])
	if plan.originReaders[piece].Name != "" && !plan.mayReplaceReader(piece) {
		return sources
	}
	return append(sources, Source{Origin: true})
}

// available returns the pieces that can be requested now: those that another agent
// has and, if readers are replaced, those that this agent may read from the origin in
// place of another.
func (plan Plan) available(pieces []int, replaceReaders bool) []int {
	var list []int
	for _, piece := range pieces {
		isHeld := plan.originReaders[piece].Name == ""
		if isHeld || replaceReaders && !plan.IsOriginReader(piece) && plan.mayReplaceReader(piece) {
			list = append(list, piece)
		}
	}
	return list
}

// mayReplaceLiveReader reports whether an agent may read a piece from the origin although
// the responsible one says that it is still reading. In a large fleet it usually is: when
// the origin has been unavailable, some dozen agents that are in a hurry would have it send
// several copies over its slow link.
func (plan Plan) mayReplaceLiveReader() bool {
	return !isLargeFleet(len(plan.agents)) || plan.failedFetches >= patientFetches
}

// mayReplaceReader reports whether this agent may read the piece from the origin in
// place of the responsible one.
func (plan Plan) mayReplaceReader(piece int) bool {
	limit := baseReplacements << min(plan.failedFetches, maxDoublings)
	return hosts.Position(plan.key+"/origin/"+strconv.Itoa(piece), plan.self.Name, plan.agents) < limit
}

func holders(peers []Peer, piece int) []hosts.Host {
	var list []hosts.Host
	for _, peer := range peers {
		if peer.Pieces.Has(piece) {
			list = append(list, peer.Host)
		}
	}
	return list
}

// rotated returns the list rotated by the offset, so that requests for different pieces
// and of different agents spread over the agents.
func rotated(list []hosts.Host, offset int) []hosts.Host {
	if len(list) == 0 {
		return nil
	}
	offset %= len(list)
	return append(append([]hosts.Host{}, list[offset:]...), list[:offset]...)
}

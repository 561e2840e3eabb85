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
	"firford/lib/weights"
)

const (
	// replacements is how many agents may read a piece from the origin in place of
	// the one that should, so that the loss of two of three does no harm.
	replacements = 2
	// mostRounds is when any fleet of the designed size may.
	mostRounds = 16
)

type (
	// Peer is another agent, or this one. Pieces are those of the version that it
	// holds.
	Peer struct {
		Host   hosts.Host
		Pieces weights.Set
	}

	// Source is where to fetch a piece. The origin has no host.
	Source struct {
		Origin bool
		Host   hosts.Host
	}

	// PlanInput is what an agent sees when it plans. FailedFetches counts the fetches of
	// the version that ended without all pieces.
	PlanInput struct {
		Self          hosts.Host
		Peers         []Peer
		FailedFetches int
	}

	// Plan tells which agent reads which piece from the origin, and which brings it
	// into each region. It is immutable. Nobody reads a piece that an agent holds:
	// such a piece has no first reader, and is asked for.
	Plan struct {
		key      string
		round    int
		self     hosts.Host
		all      []hosts.Host
		first    []hosts.Host
		regional map[string][]hosts.Host
		near     []Peer
		far      []Peer
	}
)

// NewPlan plans the fetch of a version in this many pieces. The key names the
// version.
func NewPlan(key string, pieces int, seen PlanInput) Plan {
	plan := Plan{key: key, round: seen.FailedFetches, self: seen.Self, all: []hosts.Host{seen.Self}, regional: map[string][]hosts.Host{}}
	held := weights.NewSet(pieces)
	for _, peer := range seen.Peers {
		if peer.Host.Name == seen.Self.Name {
			continue
		}
		plan.all = append(plan.all, peer.Host)
		held = held.Union(peer.Pieces)
		if peer.Host.Region == seen.Self.Region {
			plan.near = append(plan.near, peer)
		} else {
			plan.far = append(plan.far, peer)
		}
	}
	plan.first = assign(key, make([]hosts.Host, pieces), plan.all)
	for _, piece := range held.Indices() {
		plan.first[piece] = hosts.Host{}
	}
	for region, members := range byRegion(plan.all) {
		plan.regional[region] = assign(key+"/"+region, plan.inRegion(region), members)
	}
	return plan
}

func byRegion(list []hosts.Host) map[string][]hosts.Host {
	regions := map[string][]hosts.Host{}
	for _, host := range list {
		regions[host.Region] = append(regions[host.Region], host)
	}
	return regions
}

// inRegion returns the agents of the region that read the origin: they also
// bring their pieces into it.
func (plan Plan) inRegion(region string) []hosts.Host {
	fixed := make([]hosts.Host, len(plan.first))
	for piece, host := range plan.first {
		if host.Region == region {
			fixed[piece] = host
		}
	}
	return fixed
}

// assign gives each piece that is not fixed yet to one host by rendezvous hash.
// No host gets more than its even share, since the slowest link decides when a
// version is everywhere.
func assign(key string, fixed, candidates []hosts.Host) []hosts.Host {
	owners := append([]hosts.Host{}, fixed...)
	given := map[string]int{}
	for _, host := range fixed {
		given[host.Name]++
	}
	most := (len(fixed) + len(candidates) - 1) / len(candidates)
	for piece := range owners {
		if owners[piece].Name != "" {
			continue
		}
		ranked := hosts.Rank(key+"/"+strconv.Itoa(piece), candidates)
		owners[piece] = ranked[0]
		for _, host := range ranked {
			if given[host.Name] < most {
				owners[piece] = host
				break
			}
		}
		given[owners[piece].Name]++
	}
	return owners
}

// IsRegionalFetcher reports whether this agent brings the piece into its region.
func (plan Plan) IsRegionalFetcher(piece int) bool {
	return plan.regional[plan.self.Region][piece].Name == plan.self.Name
}

// IsOriginReader reports whether this agent reads the piece from the origin.
func (plan Plan) IsOriginReader(piece int) bool { return plan.first[piece].Name == plan.self.Name }

// Receivers returns the agents that this one hands the piece to as soon as it
// has it: those that bring it into other regions first, then its own region.
func (plan Plan) Receivers(piece int) []hosts.Host {
	if plan.first[piece].Name == "" {
		return nil
	}
	var list []hosts.Host
	if plan.IsOriginReader(piece) {
		for region, owners := range plan.regional {
			if region != plan.self.Region {
				list = append(list, owners[piece])
			}
		}
	}
	if !plan.IsRegionalFetcher(piece) {
		return list
	}
	own := hosts.Select(plan.all, func(host hosts.Host) bool {
		return host.Region == plan.self.Region && host.Name != plan.self.Name
	})
	return append(list, turned(own, piece)...)
}

// Sources returns where to ask for a piece, the best first. The origin comes
// last unless this agent is the one that reads the piece there. Where another
// agent reads it, only a few may go to the origin in its place, twice as many with
// each round: when the origin is away, all agents would otherwise ask it for all
// pieces, and it could not answer those that have to read them when it is back.
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
	add(turned(holders(plan.near, piece), piece)...)
	add(plan.regional[plan.self.Region][piece])
	add(turned(holders(plan.far, piece), piece)...)
	add(plan.first[piece])
	if plan.first[piece].Name != "" && !plan.mayReplace(piece) {
		return sources
	}
	return append(sources, Source{Origin: true})
}

// mayReplace reports whether this agent may read the piece from the origin in
// place of the one that should.
func (plan Plan) mayReplace(piece int) bool {
	few := replacements << min(plan.round, mostRounds)
	return hosts.Position(plan.key+"/origin/"+strconv.Itoa(piece), plan.self.Name, plan.all) < few
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

// turned returns the list with another first element for each piece, so that
// questions spread over the holders.
func turned(list []hosts.Host, piece int) []hosts.Host {
	if len(list) == 0 {
		return nil
	}
	at := piece % len(list)
	return append(append([]hosts.Host{}, list[at:]...), list[:at]...)
}

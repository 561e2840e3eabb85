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

	// Surroundings are what an agent sees when it plans.
	Surroundings struct {
		Self  hosts.Host
		Peers []Peer
	}

	// Plan tells which agent reads which piece from the origin, and which brings it
	// into each region. It is immutable. Where engines serve the version already,
	// nobody reads the origin.
	Plan struct {
		self     hosts.Host
		fetching []hosts.Host
		first    []hosts.Host
		regional map[string][]hosts.Host
		near     []hosts.Host
		far      []hosts.Host
	}
)

// NewPlan plans the fetch of a version in this many pieces. The key names the
// version.
func NewPlan(key string, pieces int, seen Surroundings) Plan {
	holding := seen.hosts(true)
	plan := Plan{
		self:     seen.Self,
		fetching: append(seen.hosts(false), seen.Self),
		regional: map[string][]hosts.Host{},
		near:     hosts.Select(holding, func(host hosts.Host) bool { return host.Region == seen.Self.Region }),
		far:      hosts.Select(holding, func(host hosts.Host) bool { return host.Region != seen.Self.Region }),
	}
	none := make([]hosts.Host, pieces)
	if len(holding) == 0 {
		plan.first = assign(key, none, plan.fetching)
	}
	for region, members := range byRegion(plan.fetching) {
		plan.regional[region] = assign(key+"/"+region, plan.inRegion(region, none), members)
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
func (plan Plan) inRegion(region string, none []hosts.Host) []hosts.Host {
	if plan.first == nil {
		return none
	}
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

// IsDuty reports whether this agent brings the piece into its region.
func (plan Plan) IsDuty(piece int) bool {
	return plan.regional[plan.self.Region][piece].Name == plan.self.Name
}

// IsFirst reports whether this agent reads the piece from the origin.
func (plan Plan) IsFirst(piece int) bool {
	return plan.first != nil && plan.first[piece].Name == plan.self.Name
}

// Receivers returns the agents that this one hands the piece to as soon as it
// has it: those that bring it into other regions first, then its own region.
func (plan Plan) Receivers(piece int) []hosts.Host {
	if plan.first == nil {
		return nil
	}
	var list []hosts.Host
	if plan.IsFirst(piece) {
		for region, owners := range plan.regional {
			if region != plan.self.Region {
				list = append(list, owners[piece])
			}
		}
	}
	if !plan.IsDuty(piece) {
		return list
	}
	own := hosts.Select(plan.fetching, func(host hosts.Host) bool {
		return host.Region == plan.self.Region && host.Name != plan.self.Name
	})
	return append(list, turned(own, piece)...)
}

// Sources returns where to ask for a piece, the best first. The origin comes
// last unless this agent is the one that reads the piece there.
func (plan Plan) Sources(piece int) []Source {
	if plan.IsFirst(piece) {
		return []Source{{Origin: true}}
	}
	var sources []Source
	add := func(list ...hosts.Host) {
		for _, host := range list {
			if host.Name != plan.self.Name {
				sources = append(sources, Source{Host: host})
			}
		}
	}
	add(plan.regional[plan.self.Region][piece])
	add(turned(plan.near, piece)...)
	add(turned(plan.far, piece)...)
	if plan.first != nil {
		add(plan.first[piece])
	}
	return append(sources, Source{Origin: true})
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

func (seen Surroundings) hosts(holding bool) []hosts.Host {
	var list []hosts.Host
	for _, peer := range seen.Peers {
		if peer.Holds == holding && peer.Host.Name != seen.Self.Name {
			list = append(list, peer.Host)
		}
	}
	return list
}

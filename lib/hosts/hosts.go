// Package hosts describes the hosts of the fleet and ranks them.
//
// Every process ranks hosts by rendezvous hashing: a host's score is a hash of
// the key and its name, and hosts are ordered by descending score. Processes
// that know the same hosts agree on the order without communicating, and adding
// or removing a host only moves the keys that are assigned to it. A hash ring
// was rejected because it needs virtual nodes to distribute keys evenly.
package hosts

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Roles of the process that runs on a host.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

type (
	// Host describes a host and the process of this system that runs on it.
	// Address is the IP address and port of the listener for links, ChunkAddress
	// that of the chunk server. Incarnation differs for each start of the process.
	Host struct {
		Name         string `json:"name"`
		Role         string `json:"role"`
		Address      string `json:"address"`
		ChunkAddress string `json:"chunk_address"`
		DataCentre   string `json:"data_centre"`
		Region       string `json:"region"`
		Deployment   string `json:"deployment"`
		Incarnation  string `json:"incarnation"`
		Leaving      bool   `json:"leaving"`
	}

	scoredHost struct {
		host  Host
		score uint64
	}
)

func score(key, name string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// Rank returns the hosts in rendezvous order for the key. The order of the
// argument has no effect.
func Rank(key string, all []Host) []Host {
	list := make([]scoredHost, 0, len(all))
	for _, host := range all {
		list = append(list, scoredHost{host: host, score: score(key, host.Name)})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].score != list[j].score {
			return list[i].score > list[j].score
		}
		return list[i].host.Name < list[j].host.Name
	})
	ranked := make([]Host, 0, len(list))
	for _, each := range list {
		ranked = append(ranked, each.host)
	}
	return ranked
}

// Position returns the zero-based position of self in the rendezvous order for
// the key. It doesn't sort, so that a host can afford to call it for each
// chunk.
func Position(key, self string, all []Host) int {
	ownScore := score(key, self)
	position := 0
	for _, host := range all {
		other := score(key, host.Name)
		if other > ownScore || other == ownScore && host.Name < self {
			position++
		}
	}
	return position
}

// Neighbours returns about count hosts that self exchanges data with. The
// relation is symmetric: each host selects the count/2 others that it ranks
// highest, and two hosts are neighbours if either has selected the other.
// Callers should keep the result until membership changes.
func Neighbours(self string, all []Host, count int) []Host {
	picks := max(1, count/2)
	selected := map[string]bool{}
	others := Select(all, func(host Host) bool { return host.Name != self })
	for _, host := range topRanked(self, others, picks) {
		selected[host.Name] = true
	}
	return Select(others, func(host Host) bool {
		return selected[host.Name] || ranksAmongFirst(host.Name, self, all, picks)
	})
}

// topRanked returns the first count hosts of Rank without sorting the others.
func topRanked(key string, all []Host, count int) []Host {
	best := make([]scoredHost, 0, count+1)
	for _, host := range all {
		next := scoredHost{host: host, score: score(key, host.Name)}
		at := sort.Search(len(best), func(i int) bool {
			if best[i].score != next.score {
				return best[i].score < next.score
			}
			return best[i].host.Name > host.Name
		})
		if at < count {
			best = slices.Insert(best, at, next)[:min(len(best)+1, count)]
		}
	}
	list := make([]Host, 0, count)
	for _, each := range best {
		list = append(list, each.host)
	}
	return list
}

// ranksAmongFirst reports whether the candidate is among the first picks hosts
// that the chooser ranks. It returns as soon as picks hosts rank higher, which
// for most choosers happens early, so that Neighbours computes about n*picks
// hashes and not n*n.
func ranksAmongFirst(chooser, candidate string, all []Host, picks int) bool {
	ownScore := score(chooser, candidate)
	rankedHigher := 0
	for _, host := range all {
		if host.Name == chooser || host.Name == candidate {
			continue
		}
		if score(chooser, host.Name) > ownScore {
			rankedHigher++
		}
		if rankedHigher >= picks {
			return false
		}
	}
	return true
}

// Select returns the hosts for which match returns true, in their order.
func Select(all []Host, match func(Host) bool) []Host {
	var selected []Host
	for _, host := range all {
		if match(host) {
			selected = append(selected, host)
		}
	}
	return selected
}

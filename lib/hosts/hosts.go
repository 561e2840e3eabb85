// Package hosts names the hosts of the fleet and ranks them.
//
// Every process ranks hosts by rendezvous hashing: each host gets a score from
// a hash of the key and its name, and the highest score comes first. All
// processes that see the same hosts agree without a message, and a host that
// comes or goes moves only its own share. A hash ring was dropped because it
// needs virtual nodes to spread evenly.
package hosts

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Roles of a host's process.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

type (
	// Host is one host and the process of the system on it. Address is the IP
	// address and port of its links listener, ChunkAddress that of its chunk
	// server. Incarnation differs for each start of the process.
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

	scored struct {
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

// Rank returns the hosts in rendezvous order for the key. The order does not
// depend on the order of the argument.
func Rank(key string, all []Host) []Host {
	list := make([]scored, 0, len(all))
	for _, host := range all {
		list = append(list, scored{host: host, score: score(key, host.Name)})
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

// Position returns the place of self in the rendezvous order for the key, from
// zero. It needs no sort, so that a host can afford it for each chunk.
func Position(key, self string, all []Host) int {
	own := score(key, self)
	position := 0
	for _, host := range all {
		other := score(key, host.Name)
		if other > own || other == own && host.Name < self {
			position++
		}
	}
	return position
}

// Neighbours returns about count hosts that self exchanges data with. The
// relation is symmetric: each host picks count/2 others by rank, and a host is
// a neighbour when either has picked the other. Callers keep the result until
// membership changes.
func Neighbours(self string, all []Host, count int) []Host {
	picks := max(1, count/2)
	own := map[string]bool{}
	others := Select(all, func(host Host) bool { return host.Name != self })
	for _, host := range first(self, others, picks) {
		own[host.Name] = true
	}
	return Select(others, func(host Host) bool {
		return own[host.Name] || picked(host.Name, self, all, picks)
	})
}

// first returns the first hosts of Rank, without ranking the others.
func first(key string, all []Host, count int) []Host {
	best := make([]scored, 0, count+1)
	for _, host := range all {
		next := scored{host: host, score: score(key, host.Name)}
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

// picked reports whether the chooser ranks the candidate among its first picks.
// It stops at the first hosts that rank better, which for most choosers come
// early, so that Neighbours costs about n*picks hashes and not n*n.
func picked(chooser, candidate string, all []Host, picks int) bool {
	own := score(chooser, candidate)
	better := 0
	for _, host := range all {
		if host.Name == chooser || host.Name == candidate {
			continue
		}
		if score(chooser, host.Name) > own {
			better++
		}
		if better >= picks {
			return false
		}
	}
	return true
}

// Select returns the hosts that match.
func Select(all []Host, match func(Host) bool) []Host {
	var selected []Host
	for _, host := range all {
		if match(host) {
			selected = append(selected, host)
		}
	}
	return selected
}

package placements

// The platform's store may come back from an older copy, in which servers are listed as
// ready that have left since. An entry that has seen them leave must not use them again,
// so the fleet remembers for a while which servers left.

import "time"

const (
	// departureMemory is longer than the age of any copy from which the store comes back.
	departureMemory = time.Minute
	// restoredListTime is how long after the return of the store its list may hold servers
	// that have left. Their leases end meanwhile, or they write again that they leave.
	restoredListTime = 15 * time.Second
)

// departure is when a server started to drain or was removed, and when that server had
// been started.
type departure struct {
	at               time.Time
	startedUnixMilli int64
}

// SetRestoredAt records when the store came back from an older copy, zero if it never
// did. The servers that had left before stay out of use for some time.
func (fleet *Fleet) SetRestoredAt(restoredAt time.Time) { fleet.restoredAt = restoredAt }

// recordDeparture remembers that the server left, since the first time that it was seen.
func (fleet *Fleet) recordDeparture(server Server, now time.Time) {
	if _, isKnown := fleet.departures[server.ID]; !isKnown {
		fleet.departures[server.ID] = departure{at: now, startedUnixMilli: server.StartedUnixMilli}
	}
}

// withDepartures returns the list of servers without those that left before the store
// came back from an older copy. One that still drains is listed as draining.
func (fleet *Fleet) withDepartures(servers []Server, now time.Time) []Server {
	fleet.forgetDepartures(now)
	if len(fleet.departures) == 0 || !now.Before(fleet.restoredAt.Add(restoredListTime)) {
		return servers
	}
	list := make([]Server, 0, len(servers))
	for _, server := range servers {
		if !fleet.hasDeparted(server) {
			list = append(list, server)
			continue
		}
		if _, isKnown := fleet.servers[server.ID]; isKnown {
			server.Draining = true
			list = append(list, server)
		}
	}
	return list
}

// hasDeparted reports whether the server left before the store came back from an older
// copy. A server that was started again under its id has not.
func (fleet *Fleet) hasDeparted(server Server) bool {
	known, found := fleet.departures[server.ID]
	return found && !known.at.After(fleet.restoredAt) && server.StartedUnixMilli <= known.startedUnixMilli
}

func (fleet *Fleet) forgetDepartures(now time.Time) {
	for id, known := range fleet.departures {
		if now.After(known.at.Add(departureMemory)) {
			delete(fleet.departures, id)
		}
	}
}

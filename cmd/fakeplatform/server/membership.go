package server

// The membership list of the real platform shows changes late. The fake applies
// each change only after a configured lag.

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"sync"
	"time"

	"firford/lib/hosts"
)

type (
	// membership is the list of hosts. Each pending change has the time at which it
	// becomes visible, and changes are applied in the order in which they were made,
	// so that a change of the lag does not reorder them.
	membership struct {
		mutex   sync.Mutex
		visible map[string]hosts.Host
		pending []memberChange
	}

	memberChange struct {
		name      string
		host      hosts.Host
		removed   bool
		visibleAt time.Time
	}

	hostList struct {
		Hosts []hosts.Host `json:"hosts"`
	}
)

// ReadHosts reads a list of hosts from a JSON file, which is either an array or an
// object with the key "hosts".
func ReadHosts(path string) ([]hosts.Host, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read hosts: %w", err)
	}
	var list hostList
	if err := json.Unmarshal(body, &list.Hosts); err == nil {
		return list.Hosts, nil
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, fmt.Errorf("decode hosts in %s: %w", path, err)
	}
	return list.Hosts, nil
}

func newMembership(initial []hosts.Host) *membership {
	visible := map[string]hosts.Host{}
	for _, host := range initial {
		visible[host.Name] = host
	}
	return &membership{visible: visible}
}

// addChange queues a change.
func (membership *membership) addChange(change memberChange) {
	membership.mutex.Lock()
	defer membership.mutex.Unlock()
	membership.pending = append(membership.pending, change)
}

// list applies the changes that are visible at the time and returns the hosts,
// ordered by name.
func (membership *membership) list(now time.Time) []hosts.Host {
	membership.mutex.Lock()
	defer membership.mutex.Unlock()
	for len(membership.pending) > 0 && !now.Before(membership.pending[0].visibleAt) {
		change := membership.pending[0]
		membership.pending = membership.pending[1:]
		if change.removed {
			delete(membership.visible, change.name)
		} else {
			membership.visible[change.name] = change.host
		}
	}
	names := slices.Sorted(maps.Keys(membership.visible))
	list := make([]hosts.Host, 0, len(names))
	for _, name := range names {
		list = append(list, membership.visible[name])
	}
	return list
}

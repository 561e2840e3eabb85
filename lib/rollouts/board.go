package rollouts

// This file holds what one process has read of the table about a deployment's
// loads: the slots and the record of each host.
//
// A slot is a lease, but clocks of hosts differ, so its row holds the remaining
// time instead of an end. Each reader counts that time from the moment at which
// it first sees the revision of the row, which is never earlier than the write.
// A reader therefore ends a lease late rather than early. An absolute end in the
// row was dropped, because a reader whose clock is ahead would end it early.

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"strconv"
	"strings"
	"time"

	"firford/lib/hosts"
	"firford/lib/platform"
)

// States of a host's engine as its agent reports them.
const (
	StateServing EngineState = "serving"
	StateLoading EngineState = "loading"
	StateWaiting EngineState = "waiting"
	StateFailed  EngineState = "failed"
)

const (
	slotPrefix  = "slots/"
	fencePrefix = "fences/"
	hostsPart   = "hosts/"
)

type (
	// EngineState is one of the State constants.
	EngineState string

	// SlotRecord is the value of a slot's row. A free slot has no host.
	SlotRecord struct {
		Host        string `json:"host,omitempty"`
		Token       int64  `json:"token,omitempty"`
		Version     string `json:"version,omitempty"`
		RemainingMS int64  `json:"remaining_ms,omitempty"`
	}

	// HostRecord is what an agent last wrote of its engine: only what the other
	// agents decide by, so that few changes cost a write. Version is empty unless
	// the engine serves one that is admitted.
	HostRecord struct {
		Host    string      `json:"host"`
		State   EngineState `json:"state"`
		Version string      `json:"version,omitempty"`
	}

	// TableSnapshot is the last content read of a deployment's rows. It is immutable.
	TableSnapshot struct {
		revision int64
		slots    map[int]seenSlot
		hosts    map[string]HostRecord
	}

	seenSlot struct {
		record    SlotRecord
		revision  int64
		expiresAt time.Time
	}
)

func boardPrefix(deployment string) string { return slotPrefix + deployment + "/" }

func slotKey(deployment string, index int) string {
	return fmt.Sprintf("%s%04d", boardPrefix(deployment), index)
}

func hostKey(deployment, host string) string { return boardPrefix(deployment) + hostsPart + host }

func fenceKey(host string) string { return fencePrefix + host }

// WithRows returns the snapshot after rows of the deployment's prefix were read.
// Rows that can't be decoded are ignored.
func (board TableSnapshot) WithRows(deployment string, rows []platform.Row, now time.Time) TableSnapshot {
	next := TableSnapshot{revision: board.revision, slots: maps.Clone(board.slots), hosts: maps.Clone(board.hosts)}
	if next.slots == nil {
		next.slots, next.hosts = map[int]seenSlot{}, map[string]HostRecord{}
	}
	for _, row := range rows {
		next.revision = max(next.revision, row.Revision)
		next.put(strings.TrimPrefix(row.Key, boardPrefix(deployment)), row, now)
	}
	return next
}

func (board TableSnapshot) put(name string, row platform.Row, now time.Time) {
	if host, isHost := strings.CutPrefix(name, hostsPart); isHost {
		var record HostRecord
		if json.Unmarshal(row.Value, &record) == nil && record.Host == host {
			board.hosts[host] = record
		}
		return
	}
	index, err := strconv.Atoi(name)
	if err != nil || board.slots[index].revision == row.Revision {
		return
	}
	var record SlotRecord
	if json.Unmarshal(row.Value, &record) != nil {
		return
	}
	board.slots[index] = seenSlot{
		record:    record,
		revision:  row.Revision,
		expiresAt: now.Add(time.Duration(record.RemainingMS) * time.Millisecond),
	}
}

// Revision returns the highest revision that has been read.
func (board TableSnapshot) Revision() int64 { return board.revision }

// SlotRevision returns the revision of a slot's row, zero if it does not exist.
func (board TableSnapshot) SlotRevision(index int) int64 { return board.slots[index].revision }

// Host returns the record of a host.
func (board TableSnapshot) Host(name string) (HostRecord, bool) {
	record, known := board.hosts[name]
	return record, known
}

// heldSlots returns the hosts that hold a slot, by index, apart from self.
func (board TableSnapshot) heldSlots(self string, now time.Time) map[int]string {
	held := map[int]string{}
	for index, slot := range board.slots {
		if slot.record.Host != "" && slot.record.Host != self && now.Before(slot.expiresAt) {
			held[index] = slot.record.Host
		}
	}
	return held
}

// mostLoading returns how many members may be out of service at once. It is at
// least one: otherwise a small deployment could never change its version.
func mostLoading(members int, minimumShare float64) int {
	// The tolerance keeps 0.9 of 10 from becoming 10 by rounding.
	minimum := int(math.Ceil(minimumShare*float64(members) - 1e-9))
	return max(1, members-minimum)
}

// FreeSlots returns the slots that self may take so that the share of serving
// members stays above the minimum. Members that are out of service without a
// slot, because they failed or have just started, use up the same allowance.
func (board TableSnapshot) FreeSlots(plan Plan, members []hosts.Host, self string, now time.Time) []int {
	held := board.heldSlots(self, now)
	holders := map[string]bool{self: true}
	for _, host := range held {
		holders[host] = true
	}
	usable := mostLoading(len(members), plan.Deployment.MinimumServingShare)
	for _, member := range members {
		if record := board.hosts[member.Name]; !holders[member.Name] && record.State != StateServing {
			usable--
		}
	}
	var free []int
	if len(held) >= usable {
		return free
	}
	for index := range usable {
		if _, taken := held[index]; !taken {
			free = append(free, index)
		}
	}
	return free
}

// own returns the slot that an unexpired row assigns to the host, for example
// to an earlier agent of it.
func (board TableSnapshot) own(host string, now time.Time) (int, bool) {
	for index, slot := range board.slots {
		if slot.record.Host == host && now.Before(slot.expiresAt) {
			return index, true
		}
	}
	return 0, false
}

// allServe reports whether every member is known to serve the version.
func (board TableSnapshot) allServe(members []hosts.Host, version string) bool {
	for _, member := range members {
		if !board.serves(member.Name, version) {
			return false
		}
	}
	return true
}

func (board TableSnapshot) serves(host, version string) bool {
	record, known := board.hosts[host]
	return known && record.State == StateServing && record.Version == version
}

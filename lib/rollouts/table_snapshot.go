package rollouts

// This file keeps a local copy of a deployment's rows in the platform's table:
// its slots, which limit how many hosts load at once, and the record of each
// host.
//
// A slot is a lease. The clocks of hosts differ, so the row of a slot holds the
// remaining time of the lease instead of its expiry time. Each reader counts the
// remaining time from the moment at which it first sees a revision of the row,
// which is never earlier than the write, so that a reader considers a lease
// expired too late rather than too early. An absolute expiry time was rejected,
// because a reader whose clock is ahead would expire the lease too early.

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

// States of an engine, as the agent of its host reports them.
const (
	StateServing EngineState = "serving"
	StateLoading EngineState = "loading"
	StateWaiting EngineState = "waiting"
	StateFailed  EngineState = "failed"
)

const (
	slotPrefix   = "slots/"
	fencePrefix  = "fences/"
	hostsSegment = "hosts/"
)

type (
	// EngineState is the state of an engine: StateServing, StateLoading,
	// StateWaiting or StateFailed.
	EngineState string

	// SlotRecord is the value of a slot's row in the table. Host is empty if the
	// slot is free. Token is the fencing token of the agent that wrote the row.
	SlotRecord struct {
		Host        string `json:"host,omitempty"`
		Token       int64  `json:"token,omitempty"`
		Version     string `json:"version,omitempty"`
		RemainingMS int64  `json:"remaining_ms,omitempty"`
	}

	// HostRecord is the value of a host's row in the table. It holds only what
	// other agents base their decisions on, so that few changes of an engine cost
	// a write. Version is empty unless the engine serves a version that may serve.
	HostRecord struct {
		Host    string      `json:"host"`
		State   EngineState `json:"state"`
		Version string      `json:"version,omitempty"`
	}

	// TableSnapshot holds the rows of a deployment as they were last read. It is
	// immutable.
	TableSnapshot struct {
		revision int64
		slots    map[int]observedSlot
		hosts    map[string]HostRecord
	}

	observedSlot struct {
		record    SlotRecord
		revision  int64
		expiresAt time.Time
	}
)

func deploymentPrefix(deployment string) string { return slotPrefix + deployment + "/" }

func slotKey(deployment string, index int) string {
	return fmt.Sprintf("%s%04d", deploymentPrefix(deployment), index)
}

func hostKey(deployment, host string) string {
	return deploymentPrefix(deployment) + hostsSegment + host
}

func fenceKey(host string) string { return fencePrefix + host }

// WithRows returns a copy updated with rows that were read from the deployment's
// key prefix at the time now. Rows that can't be decoded are ignored.
func (snapshot TableSnapshot) WithRows(deployment string, rows []platform.Row, now time.Time) TableSnapshot {
	next := TableSnapshot{revision: snapshot.revision, slots: maps.Clone(snapshot.slots), hosts: maps.Clone(snapshot.hosts)}
	if next.slots == nil {
		next.slots, next.hosts = map[int]observedSlot{}, map[string]HostRecord{}
	}
	for _, row := range rows {
		next.revision = max(next.revision, row.Revision)
		next.applyRow(strings.TrimPrefix(row.Key, deploymentPrefix(deployment)), row, now)
	}
	return next
}

func (snapshot TableSnapshot) applyRow(name string, row platform.Row, now time.Time) {
	if host, isHost := strings.CutPrefix(name, hostsSegment); isHost {
		var record HostRecord
		if json.Unmarshal(row.Value, &record) == nil && record.Host == host {
			snapshot.hosts[host] = record
		}
		return
	}
	index, err := strconv.Atoi(name)
	if err != nil || snapshot.slots[index].revision == row.Revision {
		return
	}
	var record SlotRecord
	if json.Unmarshal(row.Value, &record) != nil {
		return
	}
	snapshot.slots[index] = observedSlot{
		record:    record,
		revision:  row.Revision,
		expiresAt: now.Add(time.Duration(record.RemainingMS) * time.Millisecond),
	}
}

// Revision returns the highest revision of all rows that were read.
func (snapshot TableSnapshot) Revision() int64 { return snapshot.revision }

// SlotRevision returns the revision of a slot's row, or zero if the snapshot has
// no such row.
func (snapshot TableSnapshot) SlotRevision(index int) int64 { return snapshot.slots[index].revision }

// Host returns the record of a host and whether one was read.
func (snapshot TableSnapshot) Host(name string) (HostRecord, bool) {
	record, known := snapshot.hosts[name]
	return record, known
}

// slotsHeldByOthers maps the index of each slot whose lease has not expired to
// the host that holds it. Slots held by self are left out.
func (snapshot TableSnapshot) slotsHeldByOthers(self string, now time.Time) map[int]string {
	held := map[int]string{}
	for index, slot := range snapshot.slots {
		if slot.record.Host != "" && slot.record.Host != self && now.Before(slot.expiresAt) {
			held[index] = slot.record.Host
		}
	}
	return held
}

// maxOutOfService returns how many members may be out of service at the same
// time. It is at least one, because a small deployment could otherwise never
// change its version.
func maxOutOfService(members int, minimumShare float64) int {
	// Without the tolerance, a rounding error could turn 0.9 of 10 into 10.
	minimum := int(math.Ceil(minimumShare*float64(members) - 1e-9))
	return max(1, members-minimum)
}

// FreeSlots returns the indexes of the slots that self may acquire without the
// share of serving members falling below the minimum. Members that are out of
// service without a slot, because they failed or have just started, count
// against the same allowance.
func (snapshot TableSnapshot) FreeSlots(plan Plan, members []hosts.Host, self string, now time.Time) []int {
	held := snapshot.slotsHeldByOthers(self, now)
	holders := map[string]bool{self: true}
	for _, host := range held {
		holders[host] = true
	}
	allowance := maxOutOfService(len(members), plan.Deployment.MinimumServingShare)
	for _, member := range members {
		if record := snapshot.hosts[member.Name]; !holders[member.Name] && record.State != StateServing {
			allowance--
		}
	}
	var free []int
	if len(held) >= allowance {
		return free
	}
	for index := range allowance {
		if _, taken := held[index]; !taken {
			free = append(free, index)
		}
	}
	return free
}

// slotHeldBy returns the index of the slot whose unexpired lease belongs to the
// host. An earlier agent of the host may have acquired it.
func (snapshot TableSnapshot) slotHeldBy(host string, now time.Time) (int, bool) {
	for index, slot := range snapshot.slots {
		if slot.record.Host == host && now.Before(slot.expiresAt) {
			return index, true
		}
	}
	return 0, false
}

// allServe reports whether the record of every member says that it serves the
// version.
func (snapshot TableSnapshot) allServe(members []hosts.Host, version string) bool {
	for _, member := range members {
		if !snapshot.serves(member.Name, version) {
			return false
		}
	}
	return true
}

func (snapshot TableSnapshot) serves(host, version string) bool {
	record, known := snapshot.hosts[host]
	return known && record.State == StateServing && record.Version == version
}

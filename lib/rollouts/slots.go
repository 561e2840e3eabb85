package rollouts

// This file acquires, renews and releases the slot of this host. The number of
// slots limits how many hosts of a deployment load a version at the same time.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"firford/lib/platform"
)

// maxSlotAttempts limits how many slots one call of acquire tries. Each conflict
// means that another host has acquired the slot.
const maxSlotAttempts = 3

// errSlotTaken is returned if another host has acquired a slot that was free, or
// held by this host, in the last snapshot.
var errSlotTaken = errors.New("the slot was taken by another host")

type (
	// slotManager acquires, renews and releases the slot of this host. Only the
	// control loop uses it. Every write is conditional on the row of the fencing
	// token.
	slotManager struct {
		dependencies Dependencies
		fence        *fence
		held         heldSlot
	}

	// heldSlot is the slot that this host holds. present is false if it holds none.
	// validUntil is counted from before the transaction was sent, so that it is
	// earlier than the expiry time that any reader computes.
	heldSlot struct {
		present    bool
		deployment string
		index      int
		version    string
		revision   int64
		renewAt    time.Time
		validUntil time.Time
	}
)

// holdsSlot reports whether this host holds a slot whose lease has not expired.
func (slots *slotManager) holdsSlot(now time.Time) bool {
	return slots.held.present && now.Before(slots.held.validUntil)
}

// writeRow replaces the slot's row in one transaction with the extra writes. It
// returns ErrFenced if a later agent has taken over the host, and errSlotTaken if
// another host has changed the row.
func (slots *slotManager) writeRow(ctx context.Context, wanted heldSlot, record SlotRecord, extra ...platform.Write) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, slots.dependencies.Settings.TableTimeout)
	defer cancel()
	key := slotKey(wanted.deployment, wanted.index)
	revision, err := slots.dependencies.Table.Transact(ctx,
		[]platform.Condition{slots.fence.writeCondition(), {Key: key, Revision: wanted.revision}},
		append(extra, platform.Write{Key: key, Value: mustEncode(record)}))
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return revision, err
	}
	if slots.fence.isSuperseded(conflict) {
		return 0, ErrFenced
	}
	return 0, fmt.Errorf("%w: %w", errSlotTaken, err)
}

// writeLease writes the slot's row with a new lease. If the answer is lost, it
// reads the row to find out whether the write took effect.
func (slots *slotManager) writeLease(ctx context.Context, wanted heldSlot, extra ...platform.Write) error {
	lease := slots.dependencies.Settings.SlotLease
	sent := time.Now()
	record := SlotRecord{
		Host: slots.dependencies.Self.Name, Token: slots.fence.usableToken(),
		Version: wanted.version, RemainingMS: lease.Milliseconds(),
	}
	revision, err := slots.writeRow(ctx, wanted, record, extra...)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		revision, err = slots.confirmWrite(ctx, wanted, record)
	}
	if err != nil {
		return err
	}
	wanted.present = true
	wanted.revision = revision
	wanted.renewAt = sent.Add(lease / 3)
	wanted.validUntil = sent.Add(lease)
	slots.held = wanted
	return nil
}

// confirmWrite reads the slot's row after a lost answer. It returns the row's
// revision if the row holds the record, and otherwise errSlotTaken.
func (slots *slotManager) confirmWrite(ctx context.Context, wanted heldSlot, record SlotRecord) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, slots.dependencies.Settings.TableTimeout)
	defer cancel()
	row, err := slots.dependencies.Table.Read(ctx, slotKey(wanted.deployment, wanted.index))
	if err != nil {
		return 0, fmt.Errorf("read slot after a lost answer: %w", err)
	}
	var found SlotRecord
	if json.Unmarshal(row.Value, &found) != nil || found != record || row.Revision <= wanted.revision {
		return 0, errSlotTaken
	}
	return row.Revision, nil
}

// acquire tries to acquire one of the free slots, one after the other. The offset
// of the first one differs between hosts, so that hosts that start at the same
// time seldom conflict.
func (slots *slotManager) acquire(ctx context.Context, view View, free []int, offset int, extra platform.Write) error {
	err := errSlotTaken
	for attempt := range min(maxSlotAttempts, len(free)) {
		index := free[(offset+attempt)%len(free)]
		err = slots.writeLease(ctx, heldSlot{
			deployment: view.Plan.Deployment.Name,
			index:      index,
			version:    view.Target(),
			revision:   view.Table.SlotRevision(index),
		}, extra)
		if !errors.Is(err, errSlotTaken) {
			return err
		}
	}
	return err
}

// renew extends the lease after a third of it has passed. It returns errSlotTaken
// and gives up the slot if another host has acquired it.
func (slots *slotManager) renew(ctx context.Context, now time.Time) error {
	if !slots.held.present || now.Before(slots.held.renewAt) {
		return nil
	}
	err := slots.writeLease(ctx, slots.held)
	if errors.Is(err, errSlotTaken) {
		slots.held = heldSlot{}
	}
	return err
}

// release frees the slot. The row is emptied instead of deleted, because a scan
// does not show deletions.
func (slots *slotManager) release(ctx context.Context, extra platform.Write) error {
	if !slots.held.present {
		return nil
	}
	_, err := slots.writeRow(ctx, slots.held, SlotRecord{}, extra)
	if err == nil || errors.Is(err, errSlotTaken) {
		slots.held = heldSlot{}
	}
	return err
}

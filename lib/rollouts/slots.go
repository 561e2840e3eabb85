package rollouts

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"firford/lib/platform"
)

// maxSlotTries bounds the transactions of one attempt to take a slot; each
// conflict means that another host has got the slot.
const maxSlotTries = 3

// errSlotTaken tells that others have taken the slots that looked free.
var errSlotTaken = errors.New("the slot was taken by another host")

type (
	// slots takes, renews and returns this host's slot. Only the control loop uses
	// it. Every write is conditional on the fencing token's row.
	slots struct {
		dependencies Dependencies
		fence        *fence
		held         heldSlot
	}

	// heldSlot is the slot of this host; its zero value holds none. ValidUntil is
	// counted from before the transaction was sent, so that it lies before the
	// end that any reader counts.
	heldSlot struct {
		has        bool
		deployment string
		index      int
		version    string
		revision   int64
		renewAt    time.Time
		validUntil time.Time
	}
)

func (slots *slots) valid(now time.Time) bool {
	return slots.held.has && now.Before(slots.held.validUntil)
}

// write replaces the slot's row, and the host's record where that has changed.
func (slots *slots) write(ctx context.Context, wanted heldSlot, record SlotRecord, also ...platform.Write) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, slots.dependencies.Settings.StoreTimeout)
	defer cancel()
	key := slotKey(wanted.deployment, wanted.index)
	revision, err := slots.dependencies.Table.Transact(ctx,
		[]platform.Condition{slots.fence.condition(), {Key: key, Revision: wanted.revision}},
		append(also, platform.Write{Key: key, Value: mustEncode(record)}))
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return revision, err
	}
	if slots.fence.lost(conflict) {
		return 0, ErrFenced
	}
	return 0, fmt.Errorf("%w: %w", errSlotTaken, err)
}

// hold writes the slot's row with a new lease. A lost answer is resolved by
// reading the row.
func (slots *slots) hold(ctx context.Context, wanted heldSlot, also ...platform.Write) error {
	lease := slots.dependencies.Settings.SlotLease
	sent := time.Now()
	record := SlotRecord{
		Host: slots.dependencies.Self.Name, Token: slots.fence.held(),
		Version: wanted.version, RemainingMS: lease.Milliseconds(),
	}
	revision, err := slots.write(ctx, wanted, record, also...)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		revision, err = slots.readBack(ctx, wanted, record)
	}
	if err != nil {
		return err
	}
	wanted.has = true
	wanted.revision = revision
	wanted.renewAt = sent.Add(lease / 3)
	wanted.validUntil = sent.Add(lease)
	slots.held = wanted
	return nil
}

// readBack returns the revision of the row if it holds the record.
func (slots *slots) readBack(ctx context.Context, wanted heldSlot, record SlotRecord) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, slots.dependencies.Settings.StoreTimeout)
	defer cancel()
	row, err := slots.dependencies.Table.Read(ctx, slotKey(wanted.deployment, wanted.index))
	if err != nil {
		return 0, fmt.Errorf("read slot back: %w", err)
	}
	var found SlotRecord
	if json.Unmarshal(row.Value, &found) != nil || found != record || row.Revision <= wanted.revision {
		return 0, errSlotTaken
	}
	return row.Revision, nil
}

// take tries the free slots in turn, beginning at a different one on each host
// so that hosts that start together seldom meet.
func (slots *slots) take(ctx context.Context, view View, free []int, offset int, also platform.Write) error {
	err := errSlotTaken
	for try := range min(maxSlotTries, len(free)) {
		index := free[(offset+try)%len(free)]
		err = slots.hold(ctx, heldSlot{
			deployment: view.Plan.Deployment.Name,
			index:      index,
			version:    view.Target(),
			revision:   view.Table.SlotRevision(index),
		}, also)
		if !errors.Is(err, errSlotTaken) {
			return err
		}
	}
	return err
}

// renew extends the lease when a third of it has passed. A slot that another
// host has taken is given up.
func (slots *slots) renew(ctx context.Context, now time.Time) error {
	if !slots.held.has || now.Before(slots.held.renewAt) {
		return nil
	}
	err := slots.hold(ctx, slots.held)
	if errors.Is(err, errSlotTaken) {
		slots.held = heldSlot{}
	}
	return err
}

// release frees the slot. The row stays, because a scan does not show deletions.
func (slots *slots) release(ctx context.Context, also platform.Write) error {
	if !slots.held.has {
		return nil
	}
	_, err := slots.write(ctx, slots.held, SlotRecord{}, also)
	if err == nil || errors.Is(err, errSlotTaken) {
		slots.held = heldSlot{}
	}
	return err
}

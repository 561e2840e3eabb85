package rollouts

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"firford/lib/configurations"
	"firford/lib/hosts"
	"firford/lib/platform"
	"firford/lib/weights"
)

// All agents of a deployment together read the board at most this often.
const boardReadsPerSecond = 200

// loadPause is the shortest time between an order that failed or was cancelled
// and the next one, whatever the reason.
const loadPause = 200 * time.Millisecond

// errStaleStatus tells that a status was read before a pause of the process.
var errStaleStatus = errors.New("the engine's status is older than the pause limit")

// requestID is the same for repeats of a change by one host.
func requestID(host string, object configurations.Object, revision int64) string {
	text := fmt.Sprintf("%s|%d|%s|%+v", host, revision, object.Kind(), object)
	return "rollout-" + weights.Sum([]byte(text)).String()[:32]
}

// storeResult notes whether the table answered. While it does not, the pauses
// between attempts grow.
func (loader *Loader) storeResult(err error) error {
	control := &loader.control
	out := errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOutcomeUnknown) ||
		errors.Is(err, context.DeadlineExceeded)
	if out {
		control.storeRetryAt = time.Now().Add(control.storeBackoff.NextBackOff())
	} else {
		control.storeBackoff.Reset()
	}
	return err
}

// keepStore does the periodic work on the table: the token, the slot's lease and
// the board.
func (loader *Loader) keepStore(ctx context.Context) error {
	control := &loader.control
	work := []func(context.Context) error{loader.keepToken, loader.keepSlot, loader.readBoard}
	for _, each := range work {
		if time.Now().Before(control.storeRetryAt) {
			return nil
		}
		err := loader.storeResult(each(ctx))
		if errors.Is(err, ErrFenced) {
			return err
		}
		if err != nil {
			loader.dependencies.Logger.Debug("table not reached", zap.Error(err))
		}
	}
	return nil
}

func (loader *Loader) keepToken(ctx context.Context) error {
	control := &loader.control
	if loader.fence.held() == 0 {
		return loader.fence.take(ctx)
	}
	now := time.Now()
	if now.Before(control.verifyAt) && !loader.guard.mustVerify(now) {
		return nil
	}
	err := loader.fence.verify(ctx)
	if err == nil {
		control.verifyAt = now.Add(loader.dependencies.Settings.FenceCheckInterval)
	}
	return err
}

func (loader *Loader) keepSlot(ctx context.Context) error {
	slots := &loader.control.slots
	err := slots.renew(ctx, time.Now())
	loader.noteSlot()
	if errors.Is(err, errSlotTaken) {
		loader.dependencies.Logger.Warn("slot lost", zap.Error(err))
		return nil
	}
	return err
}

// noteSlot tells the running order how long the slot is valid.
func (loader *Loader) noteSlot() {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	loader.slotUntil = time.Time{}
	if loader.control.slots.held.has {
		loader.slotUntil = loader.control.slots.held.validUntil
	}
}

func (loader *Loader) slotValid(now time.Time) bool {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	return now.Before(loader.slotUntil)
}

// readBoard reads the changed rows of the deployment while a version is being
// changed. The interval grows with the deployment, so that the table's limit of
// reads is kept whatever its size.
func (loader *Loader) readBoard(ctx context.Context) error {
	control := &loader.control
	view := loader.view()
	name := view.Plan.Deployment.Name
	now := time.Now()
	if !view.Plan.Configured || view.Plan.IsService() || !view.changing() || now.Before(control.boardAt) {
		return nil
	}
	if control.boardOf != name {
		control.board, control.boardOf = TableSnapshot{}, name
	}
	callCtx, cancel := context.WithTimeout(ctx, loader.dependencies.Settings.StoreTimeout)
	defer cancel()
	rows, err := loader.dependencies.Table.Scan(callCtx, boardPrefix(name), control.board.Revision())
	if err != nil {
		return fmt.Errorf("read board of %s: %w", name, err)
	}
	control.board = control.board.WithRows(name, rows, time.Now())
	interval := max(loader.dependencies.Settings.StatusInterval, time.Duration(len(view.Members))*time.Second/boardReadsPerSecond)
	control.boardAt = now.Add(interval/2 + rand.N(interval/2))
	return nil
}

// changing reports whether the decision depends on other hosts.
func (view View) changing() bool {
	switch view.Plan.RolloutState {
	case configurations.RolloutRunning:
		return true
	case configurations.RolloutUndone:
		return view.Plan.RoutingRevision < view.Plan.RolloutRevision
	default:
		return view.HasSlot || view.admitted() != "" && view.admitted() != view.Target()
	}
}

func (loader *Loader) startLoad(ctx context.Context, view View, name string) {
	control := &loader.control
	version, known := view.Plan.ConfiguredVersion(name)
	manifest, whole := loader.prefetch.whole(name)
	token := loader.fence.held()
	if !known || !whole || token == 0 || view.Now.Before(control.loadAt) {
		return
	}
	control.orders++
	ctx, cancel := context.WithCancel(ctx)
	control.running = &load{
		loader: loader, version: version, manifest: manifest,
		order: Order{
			FencingToken:   token,
			OrderID:        fmt.Sprintf("%s-%d-%d", view.Self, token, control.orders),
			ManifestDigest: version.ManifestDigest,
			Version:        name,
			Size:           manifest.Size,
		},
		withSlot: view.HasSlot,
		cancel:   cancel,
		done:     make(chan error, 1),
	}
	loader.dependencies.Scope.Counter("loads_started").Inc(1)
	loader.dependencies.Logger.Info("load started", zap.String("version", name),
		zap.String("order_id", control.running.order.OrderID), zap.Bool("slot", view.HasSlot))
	go control.running.run(ctx)
}

// superviseLoad cancels an order that is obsolete or has lost its slot. An order
// that is being committed is left alone as long as its version may serve.
func (loader *Loader) superviseLoad(view View) {
	running := loader.control.running
	loader.mutex.Lock()
	committing := loader.committing
	loader.mutex.Unlock()
	_, allowed := view.Plan.ConfiguredVersion(running.version.Name)
	obsolete := !allowed || view.Plan.RolloutState == configurations.RolloutUndone && view.Plan.Previous != running.version.Name
	if !committing {
		obsolete = obsolete || view.Target() != running.version.Name || running.withSlot && !view.HasSlot
	}
	if obsolete {
		running.cancel()
	}
}

// collectLoad takes the result of an order that has ended and reads the engine
// back before anything else is decided.
func (loader *Loader) collectLoad(ctx context.Context) error {
	control := &loader.control
	if control.running == nil {
		return nil
	}
	var err error
	select {
	case err = <-control.running.done:
	default:
		return nil
	}
	ended := control.running
	ended.cancel()
	control.running = nil
	loader.noteLoad(ended, err)
	loader.readBack(ctx)
	if err != nil {
		control.loadAt = time.Now().Add(loadPause)
	}
	switch {
	case err == nil:
		control.attempts = control.attempts.WithSuccess(ended.version.Name)
	case errors.Is(err, ErrFenced):
		return err
	case errors.Is(err, ErrStaleToken):
		loader.fence.refuse()
	case errors.Is(err, context.Canceled) || errors.Is(err, errSlotLost):
	case errors.Is(err, errChunkMissing):
		loader.prefetch.drop(ended.version.Name)
		loader.giveBack(ctx)
	default:
		control.attempts = control.attempts.WithFailure(ended.version.Name, err.Error(), time.Now())
	}
	return nil
}

func (loader *Loader) noteLoad(ended *load, err error) {
	fields := []zap.Field{zap.String("version", ended.version.Name), zap.String("order_id", ended.order.OrderID)}
	if err != nil {
		loader.dependencies.Scope.Counter("loads_failed").Inc(1)
		loader.dependencies.Logger.Warn("load not completed", append(fields, zap.Error(err))...)
		return
	}
	loader.dependencies.Scope.Counter("loads_completed").Inc(1)
	loader.dependencies.Logger.Info("load completed", fields...)
}

// takeSlot tries the free slots and records in the same transaction that this
// host is loading.
func (loader *Loader) takeSlot(ctx context.Context, view View, free []int) error {
	control := &loader.control
	if view.Now.Before(control.storeRetryAt) {
		return nil
	}
	offset := 0
	for index, host := range hosts.Rank("canary/"+view.Plan.Deployment.Name, view.Members) {
		if host.Name == view.Self {
			offset = index
		}
	}
	view.HasSlot = true
	record := loader.record(view)
	err := control.slots.take(ctx, view, free, offset, record.write(view.Plan))
	loader.noteSlot()
	switch {
	case err == nil:
		control.written = record
		nudge(loader.wake)
	case errors.Is(err, errSlotTaken):
		control.boardAt = time.Time{}
		return nil
	}
	return loader.storeResult(err)
}

// releaseSlot frees the slot and records what the engine serves.
func (loader *Loader) releaseSlot(ctx context.Context, view View) error {
	control := &loader.control
	if view.Now.Before(control.storeRetryAt) {
		return nil
	}
	view.HasSlot = false
	record := loader.record(view)
	err := control.slots.release(ctx, record.write(view.Plan))
	loader.noteSlot()
	if err == nil {
		control.written = record
	}
	if errors.Is(err, errSlotTaken) {
		return nil
	}
	return loader.storeResult(err)
}

// giveBack releases the slot of an order that has to wait for chunks again while
// the engine still serves.
func (loader *Loader) giveBack(ctx context.Context) {
	view := loader.view()
	if !loader.control.slots.held.has || view.admitted() == "" {
		return
	}
	if err := loader.releaseSlot(ctx, view); err != nil {
		loader.dependencies.Logger.Info("slot not released", zap.Error(err))
	}
}

// publish keeps the state for operators, and writes the host's record to the
// table when it has changed.
func (loader *Loader) publish(ctx context.Context, view View, decision Decision) error {
	control := &loader.control
	record := loader.record(view)
	loader.setState(view, record, decision)
	if record == control.written || !view.HasToken || time.Now().Before(control.storeRetryAt) ||
		!view.Plan.Configured || view.Plan.IsService() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, loader.dependencies.Settings.StoreTimeout)
	defer cancel()
	_, err := loader.dependencies.Table.Transact(ctx,
		[]platform.Condition{loader.fence.condition()}, []platform.Write{record.write(view.Plan)})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) && loader.fence.lost(conflict) {
		return ErrFenced
	}
	if loader.storeResult(err) == nil {
		control.written = record
	}
	return nil
}

func (record HostRecord) write(plan Plan) platform.Write {
	return platform.Write{Key: hostKey(plan.Deployment.Name, record.Host), Value: mustEncode(record)}
}

func (loader *Loader) record(view View) HostRecord {
	record := HostRecord{Host: view.Self, State: StateWaiting, Version: view.admitted()}
	switch {
	case loader.control.running != nil || view.HasSlot:
		record.State = StateLoading
		record.Version = ""
	case record.Version != "":
		record.State = StateServing
	case view.LoadFailures.GiveUpReason(view.Plan.Version) != "":
		record.State = StateFailed
	}
	return record
}

// admit tells the process whether to give work to the engine, on each change.
func (loader *Loader) admit(version string, admitting bool) {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	loader.admitLocked(version, admitting)
}

func (loader *Loader) admitLocked(version string, admitting bool) {
	if !admitting {
		version = ""
	}
	if loader.admitting == admitting && loader.serving == version {
		return
	}
	loader.admitting, loader.serving = admitting, version
	if admitting && version != loader.carried {
		loader.carried = ""
	}
	loader.dependencies.Logger.Info("admission changed", zap.String("version", version), zap.Bool("serving", admitting))
	loader.dependencies.OnServingChange(version, admitting)
}

// beginCommit stops admission for the time in which the engine changes its
// version. Reads of the status that began before are discarded.
func (loader *Loader) beginCommit() {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	loader.epoch++
	loader.committing = true
	loader.admitLocked("", false)
}

func (loader *Loader) endCommit() {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	if loader.committing {
		loader.epoch++
		loader.committing = false
		loader.observed = observation{}
	}
}

func (loader *Loader) engineStatus(ctx context.Context) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, loader.dependencies.Settings.EngineTimeout)
	defer cancel()
	return loader.dependencies.Engine.Status(ctx)
}

func (loader *Loader) readBackLoop(ctx context.Context) {
	for ctx.Err() == nil {
		loader.readBack(ctx)
		timer := time.NewTimer(loader.dependencies.Settings.StatusInterval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-loader.readNow:
		}
		timer.Stop()
	}
}

// readBack compares what the engine really serves with what the plan allows and
// admits work only if they agree.
func (loader *Loader) readBack(ctx context.Context) {
	loader.mutex.Lock()
	epoch := loader.epoch
	loader.mutex.Unlock()
	began := time.Now()
	status, err := loader.engineStatus(ctx)
	if ctx.Err() != nil {
		return
	}
	if time.Since(began) > loader.dependencies.Settings.PauseThreshold {
		// The process was paused in between, so the answer says nothing of now.
		nudge(loader.readNow)
		err = errStaleStatus
	}
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	if epoch != loader.epoch {
		return
	}
	plan := loader.planLocked()
	before := loader.observed
	if err != nil {
		loader.observed.failures++
		loader.observed.reachable = before.reachable && loader.observed.failures < maxStatusFailures
	} else {
		loader.observed = observation{status: status, reachable: true}
	}
	admits := loader.observed.reachable && !loader.committing && plan.Admits(loader.observed.status)
	if err == nil && !plan.IsService() && status.Version != "" && !status.Loading && !admits && !loader.committing {
		loader.dependencies.Scope.Counter("unintended_versions_read").Inc(1)
	}
	loader.admitLocked(loader.observed.status.Version, admits)
	if loader.observed != before {
		nudge(loader.wake)
	}
}

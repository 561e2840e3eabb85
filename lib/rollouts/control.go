package rollouts

// This file holds the work of one round of the control loop. It keeps the fencing
// token, the lease of the slot and the table snapshot up to date, starts,
// cancels and finishes loads, and decides from the engine's status whether
// requests may be sent to the engine.

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

// tableScansPerSecond limits how often all agents of a deployment together scan
// the deployment's rows.
const tableScansPerSecond = 200

// loadRetryDelay is the shortest time between a load that failed or was cancelled
// and the next one, for whatever reason it ended.
const loadRetryDelay = 200 * time.Millisecond

// errStaleStatus is reported when reading the engine's status took so long that
// the process may have been paused after the engine answered.
var errStaleStatus = errors.New("the engine's status is older than the pause threshold")

// requestID returns the same id each time one host repeats a change, so that the
// repeats are recognised as one request.
func requestID(host string, object configurations.Object, revision int64) string {
	text := fmt.Sprintf("%s|%d|%s|%+v", host, revision, object.Kind(), object)
	return "rollout-" + weights.Sum([]byte(text)).String()[:32]
}

// recordTableResult updates the backoff of calls to the table and returns err.
// The delay grows as long as the table does not answer.
func (loader *Loader) recordTableResult(err error) error {
	control := &loader.control
	unavailable := errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOutcomeUnknown) ||
		errors.Is(err, context.DeadlineExceeded)
	if unavailable {
		control.tableRetryAt = time.Now().Add(control.tableBackoff.NextBackOff())
	} else {
		control.tableBackoff.Reset()
	}
	return err
}

// syncTable does the periodic calls to the table: it checks the fencing token,
// renews the slot's lease and refreshes the snapshot. It returns only ErrFenced;
// other errors are logged.
func (loader *Loader) syncTable(ctx context.Context) error {
	control := &loader.control
	tasks := []func(context.Context) error{loader.ensureToken, loader.renewSlot, loader.refreshSnapshot}
	for _, task := range tasks {
		if time.Now().Before(control.tableRetryAt) {
			return nil
		}
		err := loader.recordTableResult(task(ctx))
		if errors.Is(err, ErrFenced) {
			return err
		}
		if err != nil {
			loader.dependencies.Logger.Debug("table call failed", zap.Error(err))
		}
	}
	return nil
}

// ensureToken acquires a fencing token if the agent has none that the engine
// accepts, and otherwise checks at intervals that it is still the newest.
func (loader *Loader) ensureToken(ctx context.Context) error {
	control := &loader.control
	if loader.fence.usableToken() == 0 {
		return loader.fence.acquire(ctx)
	}
	now := time.Now()
	if now.Before(control.nextFenceCheckAt) && !loader.pauses.mustVerify(now) {
		return nil
	}
	err := loader.fence.verify(ctx)
	if err == nil {
		control.nextFenceCheckAt = now.Add(loader.dependencies.Settings.FenceCheckInterval)
	}
	return err
}

// renewSlot renews the lease of the slot when that is due. A slot that another
// host holds is given up without an error.
func (loader *Loader) renewSlot(ctx context.Context) error {
	slots := &loader.control.slots
	err := slots.renew(ctx, time.Now())
	loader.updateSlotExpiry()
	if errors.Is(err, errSlotTaken) {
		loader.dependencies.Logger.Warn("slot lease lost", zap.Error(err))
		return nil
	}
	return err
}

// updateSlotExpiry copies the expiry time of the slot's lease to where the
// goroutine of the running load can read it.
func (loader *Loader) updateSlotExpiry() {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	loader.slotValidUntil = time.Time{}
	if loader.control.slots.held.present {
		loader.slotValidUntil = loader.control.slots.held.validUntil
	}
}

func (loader *Loader) slotIsValid(now time.Time) bool {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	return now.Before(loader.slotValidUntil)
}

// refreshSnapshot reads the changed rows of the deployment while this host's
// decisions depend on other hosts. The interval between reads grows with the
// number of members, so that all agents together stay within the table's read
// limit however large the deployment is.
func (loader *Loader) refreshSnapshot(ctx context.Context) error {
	control := &loader.control
	view := loader.currentView()
	name := view.Plan.Deployment.Name
	now := time.Now()
	if !view.Plan.Configured || view.Plan.IsService() || !view.dependsOnOtherHosts() || now.Before(control.nextScanAt) {
		return nil
	}
	if control.snapshotDeployment != name {
		control.snapshot, control.snapshotDeployment = TableSnapshot{}, name
	}
	callCtx, cancel := context.WithTimeout(ctx, loader.dependencies.Settings.TableTimeout)
	defer cancel()
	rows, err := loader.dependencies.Table.Scan(callCtx, deploymentPrefix(name), control.snapshot.Revision())
	if err != nil {
		return fmt.Errorf("scan rows of deployment %s: %w", name, err)
	}
	control.snapshot = control.snapshot.WithRows(name, rows, time.Now())
	interval := max(loader.dependencies.Settings.StatusInterval, time.Duration(len(view.Members))*time.Second/tableScansPerSecond)
	control.nextScanAt = now.Add(interval/2 + rand.N(interval/2))
	return nil
}

// dependsOnOtherHosts reports whether the next decision may depend on what other
// hosts serve or on which slots they hold.
func (view View) dependsOnOtherHosts() bool {
	switch view.Plan.RolloutState {
	case configurations.RolloutRunning:
		return true
	case configurations.RolloutUndone:
		return view.Plan.RoutingRevision < view.Plan.RolloutRevision
	default:
		return view.HasSlot || view.admittedVersion() != "" && view.admittedVersion() != view.Target()
	}
}

// startLoad starts a load of the version in its own goroutine. It does nothing
// if a chunk or the fencing token is missing, or if the last load ended too
// recently.
func (loader *Loader) startLoad(ctx context.Context, view View, name string) {
	control := &loader.control
	version, known := view.Plan.ConfiguredVersion(name)
	manifest, complete := loader.prefetch.completeManifest(name)
	token := loader.fence.usableToken()
	if !known || !complete || token == 0 || view.Now.Before(control.nextLoadAt) {
		return
	}
	control.orderCount++
	ctx, cancel := context.WithCancel(ctx)
	control.activeLoad = &loadAttempt{
		loader: loader, version: version, manifest: manifest,
		order: Order{
			FencingToken:   token,
			OrderID:        fmt.Sprintf("%s-%d-%d", view.Self, token, control.orderCount),
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
		zap.String("order_id", control.activeLoad.order.OrderID), zap.Bool("slot", view.HasSlot))
	go control.activeLoad.run(ctx)
}

// cancelObsoleteLoad cancels the running load if its version is no longer the
// target or if the slot was lost. Once the commit has begun, the load goes on as
// long as its version may serve.
func (loader *Loader) cancelObsoleteLoad(view View) {
	running := loader.control.activeLoad
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

// collectLoadResult handles the result of the running load if it has ended. It
// reads the engine's status before the next decision is made.
func (loader *Loader) collectLoadResult(ctx context.Context) error {
	control := &loader.control
	if control.activeLoad == nil {
		return nil
	}
	var err error
	select {
	case err = <-control.activeLoad.done:
	default:
		return nil
	}
	ended := control.activeLoad
	ended.cancel()
	control.activeLoad = nil
	loader.recordLoadResult(ended, err)
	loader.checkStatus(ctx)
	if err != nil {
		control.nextLoadAt = time.Now().Add(loadRetryDelay)
	}
	switch {
	case err == nil:
		control.loadFailures = control.loadFailures.WithSuccess(ended.version.Name)
	case errors.Is(err, ErrFenced):
		return err
	case errors.Is(err, ErrStaleToken):
		loader.fence.markRefused()
	case errors.Is(err, context.Canceled) || errors.Is(err, errSlotLost):
	case errors.Is(err, errChunkMissing):
		loader.prefetch.discard(ended.version.Name)
		loader.releaseSlotIfServing(ctx)
	default:
		control.loadFailures = control.loadFailures.WithFailure(ended.version.Name, err.Error(), time.Now())
	}
	return nil
}

// recordLoadResult updates the metrics and the log after a load has ended.
func (loader *Loader) recordLoadResult(ended *loadAttempt, err error) {
	fields := []zap.Field{zap.String("version", ended.version.Name), zap.String("order_id", ended.order.OrderID)}
	if err != nil {
		loader.dependencies.Scope.Counter("loads_failed").Inc(1)
		loader.dependencies.Logger.Warn("load failed or was cancelled", append(fields, zap.Error(err))...)
		return
	}
	loader.dependencies.Scope.Counter("loads_completed").Inc(1)
	loader.dependencies.Logger.Info("load completed", fields...)
}

// acquireSlot tries to acquire one of the free slots. The same transaction writes
// this host's record, so that other hosts see that it is loading.
func (loader *Loader) acquireSlot(ctx context.Context, view View, free []int) error {
	control := &loader.control
	if view.Now.Before(control.tableRetryAt) {
		return nil
	}
	offset := 0
	for index, host := range hosts.Rank("canary/"+view.Plan.Deployment.Name, view.Members) {
		if host.Name == view.Self {
			offset = index
		}
	}
	view.HasSlot = true
	record := loader.hostRecord(view)
	err := control.slots.acquire(ctx, view, free, offset, record.tableWrite(view.Plan))
	loader.updateSlotExpiry()
	switch {
	case err == nil:
		control.writtenRecord = record
		notify(loader.wake)
	case errors.Is(err, errSlotTaken):
		control.nextScanAt = time.Time{}
		return nil
	}
	return loader.recordTableResult(err)
}

// releaseSlot frees the slot and writes the host's record in the same
// transaction.
func (loader *Loader) releaseSlot(ctx context.Context, view View) error {
	control := &loader.control
	if view.Now.Before(control.tableRetryAt) {
		return nil
	}
	view.HasSlot = false
	record := loader.hostRecord(view)
	err := control.slots.release(ctx, record.tableWrite(view.Plan))
	loader.updateSlotExpiry()
	if err == nil {
		control.writtenRecord = record
	}
	if errors.Is(err, errSlotTaken) {
		return nil
	}
	return loader.recordTableResult(err)
}

// releaseSlotIfServing releases the slot after a load found a chunk missing, so
// that the slot is not held while the chunks are fetched again. If the engine
// does not serve, the slot is kept.
func (loader *Loader) releaseSlotIfServing(ctx context.Context) {
	view := loader.currentView()
	if !loader.control.slots.held.present || view.admittedVersion() == "" {
		return
	}
	if err := loader.releaseSlot(ctx, view); err != nil {
		loader.dependencies.Logger.Info("slot release failed", zap.Error(err))
	}
}

// publishState updates the state that operators can query, and writes the host's
// record to the table if it has changed.
func (loader *Loader) publishState(ctx context.Context, view View, decision Decision) error {
	control := &loader.control
	record := loader.hostRecord(view)
	loader.updateState(view, record, decision)
	if record == control.writtenRecord || !view.HasToken || time.Now().Before(control.tableRetryAt) ||
		!view.Plan.Configured || view.Plan.IsService() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, loader.dependencies.Settings.TableTimeout)
	defer cancel()
	_, err := loader.dependencies.Table.Transact(ctx,
		[]platform.Condition{loader.fence.writeCondition()}, []platform.Write{record.tableWrite(view.Plan)})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) && loader.fence.isSuperseded(conflict) {
		return ErrFenced
	}
	if loader.recordTableResult(err) == nil {
		control.writtenRecord = record
	}
	return nil
}

// tableWrite returns the write that stores the record in the table.
func (record HostRecord) tableWrite(plan Plan) platform.Write {
	return platform.Write{Key: hostKey(plan.Deployment.Name, record.Host), Value: mustEncode(record)}
}

// hostRecord returns the record that describes the present state of this host.
func (loader *Loader) hostRecord(view View) HostRecord {
	record := HostRecord{Host: view.Self, State: StateWaiting, Version: view.admittedVersion()}
	switch {
	case loader.control.activeLoad != nil || view.HasSlot:
		record.State = StateLoading
		record.Version = ""
	case record.Version != "":
		record.State = StateServing
	case view.LoadFailures.GiveUpReason(view.Plan.Version) != "":
		record.State = StateFailed
	}
	return record
}

// setAdmission sets whether requests may be sent to the engine and for which
// version it serves them, and calls OnServingChange if either has changed.
func (loader *Loader) setAdmission(version string, admitting bool) {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	loader.setAdmissionLocked(version, admitting)
}

func (loader *Loader) setAdmissionLocked(version string, admitting bool) {
	if !admitting {
		version = ""
	}
	if loader.admitting == admitting && loader.admittedVersion == version {
		return
	}
	loader.admitting, loader.admittedVersion = admitting, version
	if admitting && version != loader.retainedVersion {
		loader.retainedVersion = ""
	}
	loader.dependencies.Logger.Info("admission changed", zap.String("version", version), zap.Bool("serving", admitting))
	loader.dependencies.OnServingChange(version, admitting)
}

// beginCommit stops admission while the engine changes its version. Raising the
// epoch discards the results of status reads that have already begun.
func (loader *Loader) beginCommit() {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	loader.statusEpoch++
	loader.committing = true
	loader.setAdmissionLocked("", false)
}

// endCommit lets the next status read decide about admission again. It also
// discards the results of status reads that began during the commit.
func (loader *Loader) endCommit() {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	if loader.committing {
		loader.statusEpoch++
		loader.committing = false
		loader.observed = observation{}
	}
}

func (loader *Loader) readEngineStatus(ctx context.Context) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, loader.dependencies.Settings.EngineTimeout)
	defer cancel()
	return loader.dependencies.Engine.Status(ctx)
}

// statusLoop reads the engine's status at each interval and on request.
func (loader *Loader) statusLoop(ctx context.Context) {
	for ctx.Err() == nil {
		loader.checkStatus(ctx)
		timer := time.NewTimer(loader.dependencies.Settings.StatusInterval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-loader.statusRequested:
		}
		timer.Stop()
	}
}

// checkStatus reads the engine's status and admits requests only if the plan
// allows the version that the engine reports.
func (loader *Loader) checkStatus(ctx context.Context) {
	loader.mutex.Lock()
	statusEpoch := loader.statusEpoch
	loader.mutex.Unlock()
	startedAt := time.Now()
	status, err := loader.readEngineStatus(ctx)
	if ctx.Err() != nil {
		return
	}
	if time.Since(startedAt) > loader.dependencies.Settings.PauseThreshold {
		// The process was paused after the call began, so the status may be out of
		// date.
		notify(loader.statusRequested)
		err = errStaleStatus
	}
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	if statusEpoch != loader.statusEpoch {
		return
	}
	plan := loader.currentPlanLocked()
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
	loader.setAdmissionLocked(loader.observed.status.Version, admits)
	if loader.observed != before {
		notify(loader.wake)
	}
}

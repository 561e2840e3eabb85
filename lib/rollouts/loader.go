// Package rollouts loads the version that the configuration intends into each
// engine of a deployment, one complete version at a time, while enough engines
// keep serving.
//
// Decide is a pure function from what one agent knows to the agent's next step.
// The Loader reads the engine's status, keeps a snapshot of the deployment's rows
// and runs one load at a time. A central controller was rejected, because it
// would need a host that is always available. Instead, the agents coordinate
// through rows of the platform's table. Each write is conditional on the fencing
// token of the agent that writes.
package rollouts

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"firford/lib/configurations"
	"firford/lib/hosts"
	"firford/lib/invariants"
	"firford/lib/platform"
	"firford/lib/waits"
)

const (
	// An engine counts as unreachable after this many failed reads of its status in
	// a row, so that one slow answer under load does not stop admission.
	maxStatusFailures = 2

	initialTableRetryDelay = 500 * time.Millisecond
	maxTableRetryDelay     = 15 * time.Second
	// A change of the configuration that failed is repeated after
	// failedChangeDelay. A change that was accepted appears in the configuration
	// well before acceptedChangeDelay is over; repeating it would be harmless.
	failedChangeDelay   = 10 * time.Second
	acceptedChangeDelay = time.Second
)

type (
	// Dependencies of a loader. Hosts returns the newest list of all hosts.
	// OnServingChange is called whenever the backend server starts or stops being
	// admitted for requests, or changes the version that it is admitted for; it must
	// not block. Drain, which may be nil, waits until no request runs on the backend
	// server. Admission of new requests has stopped before it is called.
	Dependencies struct {
		Self                hosts.Host
		Engine              Engine
		Table               platform.Table
		Objects             platform.ObjectStore
		Configuration       configurations.Source
		ChangeConfiguration ChangeFunc
		Chunks              ChunkSource
		Hosts               func() []hosts.Host
		OnServingChange     func(version string, serving bool)
		Drain               func(ctx context.Context) error
		Checker             invariants.Checker
		Scope               tally.Scope
		Logger              *zap.Logger
		Settings            Settings
	}

	// Loader controls one engine. Run may be called once; the other methods are
	// safe for concurrent use.
	Loader struct {
		dependencies    Dependencies
		fence           *fence
		pauses          *pauseDetector
		prefetch        *prefetcher
		wake            chan struct{}
		statusRequested chan struct{}

		mutex           sync.Mutex
		observed        observation
		statusEpoch     int
		committing      bool
		admittedVersion string
		admitting       bool
		retainedVersion string
		slotValidUntil  time.Time
		state           HostState

		control controlState
	}

	// observation is the result of the last reads of the engine's status. failures
	// counts the reads that have failed since the last success.
	observation struct {
		status    Status
		reachable bool
		failures  int
	}

	// controlState is the state that only the goroutine of the control loop uses.
	controlState struct {
		slots              slotManager
		snapshot           TableSnapshot
		snapshotDeployment string
		nextScanAt         time.Time
		loadFailures       LoadFailures
		failuresRevision   int64
		activeLoad         *loadAttempt
		orderCount         int
		writtenRecord      HostRecord
		nextFenceCheckAt   time.Time
		nextLoadAt         time.Time
		tableRetryAt       time.Time
		nextChangeAt       time.Time
		tableBackoff       *backoff.ExponentialBackOff
	}
)

// NewLoader returns a loader. It does nothing until Run is called.
func NewLoader(dependencies Dependencies) *Loader {
	loader := &Loader{
		dependencies:    dependencies,
		pauses:          newPauseDetector(dependencies.Settings.PauseThreshold, time.Now()),
		wake:            make(chan struct{}, 1),
		statusRequested: make(chan struct{}, 1),
	}
	loader.fence = newFence(dependencies, loader.pauses)
	loader.prefetch = &prefetcher{
		objects: dependencies.Objects,
		chunks:  dependencies.Chunks,
		logger:  dependencies.Logger,
		wake:    func() { notify(loader.wake) },
		fetches: map[string]*versionFetch{},
	}
	loader.control.slots = slotManager{dependencies: dependencies, fence: loader.fence}
	loader.control.tableBackoff = backoff.NewExponentialBackOff()
	loader.control.tableBackoff.InitialInterval = initialTableRetryDelay
	loader.control.tableBackoff.MaxInterval = maxTableRetryDelay
	return loader
}

// notify wakes the receiver of a channel with a buffer of one. It does not block
// if a notification is already pending.
func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Run controls the engine until the context ends. It returns ErrFenced if a later
// agent has taken over the host. When it returns, requests are no longer admitted.
func (loader *Loader) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){loader.statusLoop, loader.watchConfiguration, loader.detectPauses} {
		loops.Go(func() { loop(ctx) })
	}
	err := loader.controlLoop(ctx)
	cancel()
	loops.Wait()
	loader.setAdmission("", false)
	if errors.Is(err, ErrFenced) {
		loader.dependencies.Logger.Warn("loader stopped", zap.Error(err))
		return err
	}
	return nil
}

// Intended reports whether the configuration allows the version to serve now.
// Callers pass the version that is stated in each answer of the engine.
func (loader *Loader) Intended(version string) bool {
	plan := loader.currentPlan()
	return plan.Admits(Status{Version: version})
}

// currentPlan returns the plan of the newest configuration. If the plan no longer
// names the version that is admitted now, that version is retained.
func (loader *Loader) currentPlan() Plan {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	return loader.currentPlanLocked()
}

func (loader *Loader) currentPlanLocked() Plan {
	snapshot := loader.dependencies.Configuration.Current()
	plan := NewPlan(snapshot, loader.dependencies.Self.Deployment)
	if loader.admitting && !plan.IsService() && !slices.Contains(plan.AllowedVersions(), loader.admittedVersion) {
		loader.retainedVersion = loader.admittedVersion
	}
	if plan.Configured && loader.retainedVersion != "" {
		plan = plan.WithRetainedVersion(snapshot, loader.retainedVersion)
	}
	return plan
}

// watchConfiguration starts a status check and a round of the control loop after
// each change of the configuration.
func (loader *Loader) watchConfiguration(ctx context.Context) {
	revision := loader.dependencies.Configuration.Current().Revision
	for ctx.Err() == nil {
		snapshot, err := loader.dependencies.Configuration.Wait(ctx, revision)
		if err != nil {
			waits.Sleep(ctx, time.Second)
			continue
		}
		revision = snapshot.Revision
		notify(loader.statusRequested)
		notify(loader.wake)
	}
}

// detectPauses calls the pause detector often enough to detect a pause of the
// process.
func (loader *Loader) detectPauses(ctx context.Context) {
	ticker := time.NewTicker(loader.dependencies.Settings.PauseThreshold / 6)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			loader.pauses.tick(time.Now())
		}
	}
}

// controlLoop runs a round at each interval and whenever it is woken.
func (loader *Loader) controlLoop(ctx context.Context) error {
	ticker := time.NewTicker(loader.dependencies.Settings.StatusInterval)
	defer ticker.Stop()
	for {
		err := loader.reconcile(ctx)
		if errors.Is(err, ErrFenced) || ctx.Err() != nil {
			loader.stopLoad()
			return err
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-loader.wake:
		}
	}
}

// stopLoad cancels the running load and waits for its goroutine to end.
func (loader *Loader) stopLoad() {
	if running := loader.control.activeLoad; running != nil {
		running.cancel()
		<-running.done
		loader.control.activeLoad = nil
	}
}

// reconcile runs one round of the control loop. It returns an error only if a
// later agent has taken over the host.
func (loader *Loader) reconcile(ctx context.Context) error {
	loader.pauses.tick(time.Now())
	if err := loader.collectLoadResult(ctx); err != nil {
		return err
	}
	if err := loader.syncTable(ctx); err != nil {
		return err
	}
	view := loader.currentView()
	loader.prefetch.setWanted(ctx, view.versionsToFetch())
	if loader.control.activeLoad != nil {
		loader.cancelObsoleteLoad(view)
		return loader.publishState(ctx, view, Wait{})
	}
	decision := Decide(view)
	err := loader.carryOut(ctx, view, decision)
	if errors.Is(err, ErrFenced) {
		return err
	}
	if err != nil {
		loader.dependencies.Logger.Info("decision not carried out", zap.Error(err))
	}
	return loader.publishState(ctx, loader.currentView(), decision)
}

// versionsToFetch returns the version that this host has to fetch, if any. That is
// its target or, once it serves the target, the version of a running rollout that
// has not reached this host. There is never more than one, because a deployment
// has one transfer at a time.
func (view View) versionsToFetch() []configurations.Version {
	wanted, served := view.Target(), view.admittedVersion()
	if wanted == served && view.Plan.RolloutState == configurations.RolloutRunning {
		wanted = view.Plan.Version
	}
	version, known := view.Plan.ConfiguredVersion(wanted)
	if !known || wanted == served || view.Plan.IsService() {
		return nil
	}
	return []configurations.Version{version}
}

// currentView collects what the next decision depends on.
func (loader *Loader) currentView() View {
	control := &loader.control
	now := time.Now()
	plan := loader.currentPlan()
	if control.failuresRevision != plan.RolloutRevision {
		// A change of the rollout by an operator allows versions that were given up to
		// be tried again.
		control.loadFailures, control.failuresRevision = LoadFailures{}, plan.RolloutRevision
	}
	loader.mutex.Lock()
	observed := loader.observed
	loader.mutex.Unlock()
	return View{
		Now: now, Self: loader.dependencies.Self.Name, Plan: plan,
		Members: loader.members(), Table: control.snapshot,
		Status: observed.status, Reachable: observed.reachable,
		HasToken: loader.fence.usableToken() != 0, HasSlot: control.slots.holdsSlot(now),
		LoadFailures: control.loadFailures, ChangesPaused: now.Before(control.nextChangeAt),
		HasAllChunks: func(version string) bool {
			_, complete := loader.prefetch.completeManifest(version)
			return complete
		},
	}
}

// members returns the hosts of this deployment that are not leaving.
func (loader *Loader) members() []hosts.Host {
	return hosts.Select(loader.dependencies.Hosts(), func(host hosts.Host) bool {
		return host.Role == hosts.RoleAgent && host.Deployment == loader.dependencies.Self.Deployment && !host.Leaving
	})
}

// carryOut carries out a decision of Decide.
func (loader *Loader) carryOut(ctx context.Context, view View, decision Decision) error {
	switch decision := decision.(type) {
	case Wait:
		return nil
	case AcquireSlot:
		return loader.acquireSlot(ctx, view, decision.Slots)
	case StartLoad:
		loader.startLoad(ctx, view, decision.Version)
		return nil
	case ReleaseSlot:
		return loader.releaseSlot(ctx, view)
	case StopRollout:
		rollout := view.Plan.Rollout
		rollout.State, rollout.Reason = configurations.RolloutStopped, decision.Reason
		return loader.changeConfiguration(ctx, rollout, view.Plan.RolloutRevision)
	case FinishRollout:
		rollout := view.Plan.Rollout
		rollout.State, rollout.Reason = configurations.RolloutDone, "every host serves the version"
		return loader.changeConfiguration(ctx, rollout, view.Plan.RolloutRevision)
	case SetRouting:
		routing := view.Plan.Routing
		routing.Deployment, routing.Version = view.Plan.Deployment.Name, decision.Version
		if routing.Spill == "" {
			// The first rollout of a deployment creates its routing. If there is no
			// backend server nearby, serving a request far away is better than refusing
			// it.
			routing.Spill = configurations.SpillAnywhere
		}
		return loader.changeConfiguration(ctx, routing, view.Plan.RoutingRevision)
	default:
		return fmt.Errorf("unknown decision %T", decision)
	}
}

// changeConfiguration replaces a configuration object that was last changed at the
// revision. It then delays further changes by this agent.
func (loader *Loader) changeConfiguration(ctx context.Context, object configurations.Object, revision int64) error {
	loader.control.nextChangeAt = time.Now().Add(failedChangeDelay)
	ctx, cancel := context.WithTimeout(ctx, loader.dependencies.Settings.TableTimeout)
	defer cancel()
	id := requestID(loader.dependencies.Self.Name, object, revision)
	if err := loader.dependencies.ChangeConfiguration(ctx, id, object, revision); err != nil {
		return fmt.Errorf("change %s %s: %w", object.Kind(), object.ObjectName(), err)
	}
	loader.control.nextChangeAt = time.Now().Add(acceptedChangeDelay)
	loader.dependencies.Logger.Info("configuration changed", zap.String("kind", object.Kind()),
		zap.String("name", object.ObjectName()), zap.String("request_id", id))
	return nil
}

// Package rollouts brings each engine to the version that the configuration
// intends, one complete version at a time, while enough engines keep serving.
//
// Decide is pure: it maps what one agent knows to its next step. The Loader
// around it reads the engine back, keeps the board of the deployment up to date
// and runs one order at a time. A central controller was dropped, because it
// would need a host that is always there; the agents coordinate through rows of
// the platform's table, each write conditional on the writer's fencing token.
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
)

const (
	// An engine counts as unreachable after this many failed reads in a row, so
	// that one slow answer under load does not stop admission.
	maxStatusFailures = 2

	firstStorePause = 500 * time.Millisecond
	maxStorePause   = 15 * time.Second
	// A change that failed is repeated after this time. One that was accepted is
	// seen in the snapshot well before the shorter time; a repeat is harmless.
	failedChangePause   = 10 * time.Second
	acceptedChangePause = time.Second
)

type (
	// Dependencies of a loader. Hosts returns the newest list of all hosts.
	// OnServingChange is told of each change of what the backend server may be given work
	// for; it must not block. Drain, which may be nil, returns when no request is
	// running on the backend server; new ones have stopped by then.
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
		Invariants          invariants.Asserter
		Scope               tally.Scope
		Logger              *zap.Logger
		Settings            Settings
	}

	// Loader controls one engine. Run may be called once; the other methods are
	// safe for concurrent use.
	Loader struct {
		dependencies Dependencies
		fence        *fence
		guard        *guard
		prefetch     *prefetcher
		wake         chan struct{}
		readNow      chan struct{}

		mutex      sync.Mutex
		observed   observation
		epoch      int
		committing bool
		serving    string
		admitting  bool
		carried    string
		slotUntil  time.Time
		state      HostState

		control control
	}

	// observation is the result of the last reads of the engine's status.
	observation struct {
		status    Status
		reachable bool
		failures  int
	}

	// control is the state that only the control loop uses.
	control struct {
		slots         slots
		board         TableSnapshot
		boardOf       string
		boardAt       time.Time
		attempts      LoadFailures
		attemptsOf    int64
		running       *load
		orders        int
		written       HostRecord
		verifyAt      time.Time
		loadAt        time.Time
		storeRetryAt  time.Time
		changeRetryAt time.Time
		storeBackoff  *backoff.ExponentialBackOff
	}
)

// NewLoader returns a loader that Run starts.
func NewLoader(dependencies Dependencies) *Loader {
	loader := &Loader{
		dependencies: dependencies,
		guard:        newGuard(dependencies.Settings.PauseThreshold, time.Now()),
		wake:         make(chan struct{}, 1),
		readNow:      make(chan struct{}, 1),
	}
	loader.fence = newFence(dependencies, loader.guard)
	loader.prefetch = &prefetcher{
		objects: dependencies.Objects,
		chunks:  dependencies.Chunks,
		logger:  dependencies.Logger,
		wake:    func() { nudge(loader.wake) },
		fetches: map[string]*fetch{},
	}
	loader.control.slots = slots{dependencies: dependencies, fence: loader.fence}
	loader.control.storeBackoff = backoff.NewExponentialBackOff()
	loader.control.storeBackoff.InitialInterval = firstStorePause
	loader.control.storeBackoff.MaxInterval = maxStorePause
	return loader
}

func nudge(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Run controls the engine until the context ends, or returns ErrFenced when a
// later agent has taken over the host. Work is no longer admitted afterwards.
func (loader *Loader) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var helpers sync.WaitGroup
	for _, helper := range []func(context.Context){loader.readBackLoop, loader.watchConfiguration, loader.watchPauses} {
		helpers.Go(func() { helper(ctx) })
	}
	err := loader.controlLoop(ctx)
	cancel()
	helpers.Wait()
	loader.admit("", false)
	if errors.Is(err, ErrFenced) {
		loader.dependencies.Logger.Warn("loader ended", zap.Error(err))
		return err
	}
	return nil
}

// Intended reports whether the version may serve at this moment. Callers compare
// it with the version that each answer of the engine states.
func (loader *Loader) Intended(version string) bool {
	plan := loader.plan()
	return plan.Admits(Status{Version: version})
}

// plan returns the plan of the newest configuration. The version that is
// admitted at this moment is carried over if the plan has ceased to name it.
func (loader *Loader) plan() Plan {
	loader.mutex.Lock()
	defer loader.mutex.Unlock()
	return loader.planLocked()
}

func (loader *Loader) planLocked() Plan {
	snapshot := loader.dependencies.Configuration.Current()
	plan := NewPlan(snapshot, loader.dependencies.Self.Deployment)
	if loader.admitting && !plan.IsService() && !slices.Contains(plan.AllowedVersions(), loader.serving) {
		loader.carried = loader.serving
	}
	if plan.Configured && loader.carried != "" {
		plan = plan.WithRetainedVersion(snapshot, loader.carried)
	}
	return plan
}

func (loader *Loader) watchConfiguration(ctx context.Context) {
	revision := loader.dependencies.Configuration.Current().Revision
	for ctx.Err() == nil {
		snapshot, err := loader.dependencies.Configuration.Wait(ctx, revision)
		if err != nil {
			sleep(ctx, time.Second)
			continue
		}
		revision = snapshot.Revision
		nudge(loader.readNow)
		nudge(loader.wake)
	}
}

func (loader *Loader) watchPauses(ctx context.Context) {
	ticker := time.NewTicker(loader.dependencies.Settings.PauseThreshold / 6)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			loader.guard.tick(time.Now())
		}
	}
}

func (loader *Loader) controlLoop(ctx context.Context) error {
	ticker := time.NewTicker(loader.dependencies.Settings.StatusInterval)
	defer ticker.Stop()
	for {
		err := loader.step(ctx)
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

// stopLoad cancels the running order and waits for its goroutine.
func (loader *Loader) stopLoad() {
	if running := loader.control.running; running != nil {
		running.cancel()
		<-running.done
		loader.control.running = nil
	}
}

// step runs one round of the control loop. Only ErrFenced ends the loop.
func (loader *Loader) step(ctx context.Context) error {
	loader.guard.tick(time.Now())
	if err := loader.collectLoad(ctx); err != nil {
		return err
	}
	if err := loader.keepStore(ctx); err != nil {
		return err
	}
	view := loader.view()
	loader.prefetch.want(ctx, view.missing())
	if loader.control.running != nil {
		loader.superviseLoad(view)
		return loader.publish(ctx, view, Wait{})
	}
	decision := Decide(view)
	err := loader.act(ctx, view, decision)
	if errors.Is(err, ErrFenced) {
		return err
	}
	if err != nil {
		loader.dependencies.Logger.Info("step not completed", zap.Error(err))
	}
	return loader.publish(ctx, loader.view(), decision)
}

// missing returns the version that this host has to fetch, if any: its target,
// and once it serves that, the version of a rollout whose turn has not come. It
// is never more than one, because a deployment has one transfer at a time.
func (view View) missing() []configurations.Version {
	wanted, served := view.Target(), view.admitted()
	if wanted == served && view.Plan.RolloutState == configurations.RolloutRunning {
		wanted = view.Plan.Version
	}
	version, known := view.Plan.ConfiguredVersion(wanted)
	if !known || wanted == served || view.Plan.IsService() {
		return nil
	}
	return []configurations.Version{version}
}

func (loader *Loader) view() View {
	control := &loader.control
	now := time.Now()
	plan := loader.plan()
	if control.attemptsOf != plan.RolloutRevision {
		// An operator's change of the rollout is a reason to try again.
		control.attempts, control.attemptsOf = LoadFailures{}, plan.RolloutRevision
	}
	loader.mutex.Lock()
	observed := loader.observed
	loader.mutex.Unlock()
	return View{
		Now: now, Self: loader.dependencies.Self.Name, Plan: plan,
		Members: loader.members(), Table: control.board,
		Status: observed.status, Reachable: observed.reachable,
		HasToken: loader.fence.held() != 0, HasSlot: control.slots.valid(now),
		LoadFailures: control.attempts, ChangesPaused: now.Before(control.changeRetryAt),
		HasAllChunks: func(version string) bool {
			_, whole := loader.prefetch.whole(version)
			return whole
		},
	}
}

func (loader *Loader) members() []hosts.Host {
	return hosts.Select(loader.dependencies.Hosts(), func(host hosts.Host) bool {
		return host.Role == hosts.RoleAgent && host.Deployment == loader.dependencies.Self.Deployment && !host.Leaving
	})
}

// act carries out a decision.
func (loader *Loader) act(ctx context.Context, view View, decision Decision) error {
	switch decision := decision.(type) {
	case Wait:
		return nil
	case AcquireSlot:
		return loader.takeSlot(ctx, view, decision.Slots)
	case StartLoad:
		loader.startLoad(ctx, view, decision.Version)
		return nil
	case ReleaseSlot:
		return loader.releaseSlot(ctx, view)
	case StopRollout:
		rollout := view.Plan.Rollout
		rollout.State, rollout.Reason = configurations.RolloutStopped, decision.Reason
		return loader.change(ctx, rollout, view.Plan.RolloutRevision)
	case FinishRollout:
		rollout := view.Plan.Rollout
		rollout.State, rollout.Reason = configurations.RolloutDone, "every host serves the version"
		return loader.change(ctx, rollout, view.Plan.RolloutRevision)
	case SetRouting:
		routing := view.Plan.Routing
		routing.Deployment, routing.Version = view.Plan.Deployment.Name, decision.Version
		if routing.Spill == "" {
			// The first rollout of a deployment creates its routing. A request that
			// finds no backend server nearby is better served far away than refused.
			routing.Spill = configurations.SpillAnywhere
		}
		return loader.change(ctx, routing, view.Plan.RoutingRevision)
	default:
		return fmt.Errorf("unknown decision %T", decision)
	}
}

// change makes a change of the configuration and then pauses further ones.
func (loader *Loader) change(ctx context.Context, object configurations.Object, revision int64) error {
	loader.control.changeRetryAt = time.Now().Add(failedChangePause)
	ctx, cancel := context.WithTimeout(ctx, loader.dependencies.Settings.StoreTimeout)
	defer cancel()
	id := requestID(loader.dependencies.Self.Name, object, revision)
	if err := loader.dependencies.ChangeConfiguration(ctx, id, object, revision); err != nil {
		return fmt.Errorf("change %s %s: %w", object.Kind(), object.ObjectName(), err)
	}
	loader.control.changeRetryAt = time.Now().Add(acceptedChangePause)
	loader.dependencies.Logger.Info("configuration changed", zap.String("kind", object.Kind()),
		zap.String("name", object.ObjectName()), zap.String("request_id", id))
	return nil
}

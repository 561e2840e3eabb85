// Package components runs the components of a process, such as its listeners and the
// loops that follow the store.
//
// A process must not outlive a component: without the feed of the configuration it would
// serve by an old one, and without its probes nobody would notice. golang.org/x/sync/errgroup
// ends all components at once when one ends, also those that are needed to stop in order,
// and waits for ever for one that does not end. A Group only says that the process is to
// stop, and leaves the order to the process.
package components

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"
)

// errEndedEarly is the error of a component that has returned none although the process
// was not told to stop.
var errEndedEarly = errors.New("ended without an error")

// Group runs components. It is safe for concurrent use, but Go must not be called after
// End.
type Group struct {
	logger *zap.Logger
	// stopping ends once the process is to stop, running when the components are to end.
	stopping      context.Context
	beginStop     context.CancelCauseFunc
	running       context.Context
	endComponents context.CancelFunc
	wait          sync.WaitGroup
}

// New returns a group of a process that is told to stop by the end of the context.
func New(told context.Context, logger *zap.Logger) *Group {
	group := &Group{logger: logger}
	group.stopping, group.beginStop = context.WithCancelCause(told)
	group.running, group.endComponents = context.WithCancel(context.WithoutCancel(told))
	return group
}

// Stopping returns a context that ends once the process is to stop: when it was told to,
// or because a component has ended. The components run on.
func (group *Group) Stopping() context.Context { return group.stopping }

// Go starts a component, which runs until its context ends. One that ends before the
// process is to stop makes it stop.
func (group *Group) Go(name string, run func(ctx context.Context) error) {
	group.wait.Go(func() {
		err := run(group.running)
		if group.stopping.Err() != nil {
			return
		}
		if err == nil {
			err = errEndedEarly
		}
		group.logger.Error("component ended", zap.String("component", name), zap.Error(err))
		group.beginStop(fmt.Errorf("%s: %w", name, err))
	})
}

// Loop starts a component that has no error of its own. It is otherwise like Go.
func (group *Group) Loop(name string, run func(ctx context.Context)) {
	group.Go(name, func(ctx context.Context) error {
		run(ctx)
		return nil
	})
}

// End ends the contexts of the components. It returns why the process stops, nil if it was
// told to.
func (group *Group) End() error {
	group.beginStop(context.Canceled)
	group.endComponents()
	if cause := context.Cause(group.stopping); !errors.Is(cause, context.Canceled) {
		return cause
	}
	return nil
}

// Stop does so and waits until the components have ended, at most until the deadline.
func (group *Group) Stop(deadline time.Time) error {
	cause := group.End()
	if !group.awaitEnd(deadline) {
		group.logger.Warn("components have not ended")
	}
	return cause
}

// awaitEnd waits until the components have ended, and returns false if the deadline passes
// before.
func (group *Group) awaitEnd(deadline time.Time) bool {
	ended := make(chan struct{})
	go func() {
		group.wait.Wait()
		close(ended)
	}()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
		return false
	}
}

package assembly

import (
	"context"
	"sync"
	"time"

	"firford/lib/configurations"
	"firford/lib/hosts"
	"firford/lib/links"
	"firford/lib/operators"
	"firford/lib/requests"
	"firford/lib/rollouts"
)

const (
	stateParallel = 32
	stateTimeout  = 3 * time.Second
	// stateUnreachable is reported for an agent that did not answer.
	stateUnreachable = "unreachable"
)

type (
	// engineLister asks the agents for the state of their engines.
	engineLister struct {
		entry *entry
	}

	// surveyor asks every process for its revision.
	surveyor struct {
		entry *entry
	}
)

// Survey implements operators.Surveyor.
func (surveyor surveyor) Survey(ctx context.Context) []configurations.Standing {
	return configurations.Survey(ctx, surveyor.entry.options, surveyor.entry.watcher.Current())
}

// Engines implements operators.EngineLister. It opens a link to each agent for
// one call, because an entry is linked with a subset only.
func (lister engineLister) Engines(ctx context.Context, deployment string) ([]operators.Engine, error) {
	agents := hosts.Select(lister.entry.watcher.Current(), func(host hosts.Host) bool {
		return host.Role == hosts.RoleAgent && (deployment == "" || host.Deployment == deployment)
	})
	list := make([]operators.Engine, len(agents))
	free := make(chan struct{}, stateParallel)
	var asked sync.WaitGroup
	for i, host := range agents {
		free <- struct{}{}
		asked.Go(func() {
			defer func() { <-free }()
			list[i] = lister.ask(ctx, host)
		})
	}
	asked.Wait()
	return list, nil
}

func (lister engineLister) ask(ctx context.Context, host hosts.Host) operators.Engine {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	engine := operators.Engine{
		Host: host.Name, DataCentre: host.DataCentre, Deployment: host.Deployment, State: stateUnreachable,
	}
	link, err := links.Dial(ctx, host.Address, lister.entry.options)
	if err != nil {
		return engine
	}
	defer link.Close()
	state, err := rollouts.FetchState(ctx, link)
	if err != nil {
		return engine
	}
	engine.Version, engine.State, engine.SeenAt = state.Version, string(state.State), time.Now()
	if load, err := requests.FetchLoad(ctx, link); err == nil {
		engine.Running, engine.Queued, engine.Slots = load.Running, load.Queued, load.Slots
	}
	return engine
}

package assembly

import (
	"context"
	"time"

	"firford/lib/configurations"
	"firford/lib/hosts"
	"firford/lib/links"
	"firford/lib/operators"
	"firford/lib/requests"
	"firford/lib/rollouts"
)

// stateUnreachable is reported for an agent that did not answer.
const stateUnreachable = "unreachable"

type (
	// engineLister queries the agents for the state of their engines.
	engineLister struct {
		entry *entry
	}

	// statusQuerier queries every process for the configuration revision that it has
	// applied.
	statusQuerier struct {
		entry *entry
	}
)

// QueryStatuses implements operators.StatusQuerier.
func (querier statusQuerier) QueryStatuses(ctx context.Context) []configurations.HostStatus {
	return configurations.QueryStatuses(ctx, querier.entry.options, querier.entry.watcher.Current())
}

// Engines implements operators.EngineLister. It opens a link to each agent for
// this call only, because an entry keeps links to only a subset of the agents.
func (lister engineLister) Engines(ctx context.Context, deployment string) ([]operators.Engine, error) {
	agents := hosts.Select(lister.entry.watcher.Current(), func(host hosts.Host) bool {
		return host.Role == hosts.RoleAgent && (deployment == "" || host.Deployment == deployment)
	})
	list := make([]operators.Engine, len(agents))
	links.DialEach(ctx, lister.entry.options, agents, func(ctx context.Context, index int, link *links.Link, err error) {
		list[index] = fetchEngine(ctx, agents[index], link, err)
	})
	return list, nil
}

// fetchEngine returns the state of the host's engine, as its agent reports it
// over the link. The state is stateUnreachable if err reports that the link could
// not be opened, or if the agent does not answer.
func fetchEngine(ctx context.Context, host hosts.Host, link *links.Link, err error) operators.Engine {
	engine := operators.Engine{
		Host: host.Name, DataCentre: host.DataCentre, Deployment: host.Deployment, State: stateUnreachable,
	}
	if err != nil {
		return engine
	}
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

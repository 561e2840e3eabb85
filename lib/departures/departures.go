// Package departures spreads among the processes that a host is leaving, as
// soon as the first of them has seen it in the platform's list.
//
// Each process passes a departure on to its neighbours once, so it reaches all
// of them in a few hops, at some 80 bytes for each neighbour. The host itself
// reads the list again before it drains, because a drain can't be undone.
// Reading the list more often was rejected: at 1,290 processes the list has
// 300 KB, and one read a second exceeds the control budget of a process.
package departures

import (
	"context"

	"go.uber.org/zap"

	"firford/lib/hosts"
	"firford/lib/links"
)

const methodLeaving = "host.leaving"

type (
	// Dependencies of a node. Broadcast sends a notification to the neighbours
	// and must not block.
	Dependencies struct {
		Self      string
		Watcher   *hosts.Watcher
		Broadcast func(method string, params any)
		Logger    *zap.Logger
	}

	// Node spreads departures. It is safe for concurrent use.
	Node struct {
		dependencies Dependencies
	}

	leavingParams struct {
		Host string `json:"host"`
	}
)

// New returns a node; Register it and call Run.
func New(dependencies Dependencies) *Node {
	return &Node{dependencies: dependencies}
}

// Register adds the node's handler to the router of the process's links.
func (node *Node) Register(router *links.Router) {
	links.OnNotification(router, methodLeaving, func(_ *links.Link, params leavingParams) {
		node.hear(params.Host)
	})
}

// hear takes a departure that a neighbour has told.
func (node *Node) hear(name string) {
	if !node.dependencies.Watcher.AddLeavingHint(name) {
		return
	}
	node.dependencies.Logger.Info("host said to be leaving", zap.String("host", name))
	if name == node.dependencies.Self {
		node.dependencies.Watcher.Refresh()
	}
	node.dependencies.Broadcast(methodLeaving, leavingParams{Host: name})
}

// Run tells the neighbours of each departure that the platform's list shows,
// until the context ends.
func (node *Node) Run(ctx context.Context) {
	told := map[string]bool{}
	for {
		all, changed := node.dependencies.Watcher.Changed()
		for _, host := range all {
			listed, _ := node.dependencies.Watcher.ListedHost(host.Name)
			switch {
			case !listed.Leaving:
				delete(told, host.Name)
			case !told[host.Name]:
				told[host.Name] = true
				node.dependencies.Broadcast(methodLeaving, leavingParams{Host: host.Name})
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

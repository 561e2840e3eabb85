// Package departures notifies all processes that a host is leaving, as soon as one of
// them has seen it in the platform's list of hosts.
//
// Each process forwards a notification to its neighbours once. It thus reaches all
// processes in a few hops, at about 80 bytes for each neighbour. The leaving host
// itself reads the list again before it drains, because a drain can't be undone.
// Reading the list more often was rejected: at 1,290 processes the list has 300 KB,
// and one read per second exceeds the control traffic budget of a process.
package departures

import (
	"context"

	"go.uber.org/zap"

	"firford/lib/hosts"
	"firford/lib/links"
)

const methodLeaving = "host.leaving"

type (
	// Dependencies holds what a node needs. Self is the name of its own host.
	// Broadcast sends a notification to the neighbours and must not block.
	Dependencies struct {
		Self      string
		Watcher   *hosts.Watcher
		Broadcast func(method string, params any)
		Logger    *zap.Logger
	}

	// Node sends, receives and forwards notifications of leaving hosts. It is safe
	// for concurrent use.
	Node struct {
		dependencies Dependencies
	}

	// leavingParams is the message that a host is leaving.
	leavingParams struct {
		Host string `json:"host"`
	}
)

// New returns a node. Register adds its handler, and Run starts it.
func New(dependencies Dependencies) *Node {
	return &Node{dependencies: dependencies}
}

// Register adds the handler of notifications to the router of the process's links.
func (node *Node) Register(router *links.Router) {
	links.OnNotification(router, methodLeaving, func(_ *links.Link, params leavingParams) {
		node.handleLeaving(params.Host)
	})
}

// handleLeaving records the departure that a neighbour notified and forwards it, if
// it is new. If it concerns this process's own host, the list is read again.
func (node *Node) handleLeaving(name string) {
	if !node.dependencies.Watcher.AddLeavingHint(name) {
		return
	}
	node.dependencies.Logger.Info("neighbour reports a leaving host", zap.String("host", name))
	if name == node.dependencies.Self {
		node.dependencies.Watcher.Refresh()
	}
	node.dependencies.Broadcast(methodLeaving, leavingParams{Host: name})
}

// Run notifies the neighbours of each host that the platform's list shows as leaving,
// until the context is cancelled.
func (node *Node) Run(ctx context.Context) {
	notified := map[string]bool{}
	for {
		hostList, changed := node.dependencies.Watcher.Changed()
		for _, host := range hostList {
			listed, _ := node.dependencies.Watcher.ListedHost(host.Name)
			switch {
			case !listed.Leaving:
				delete(notified, host.Name)
			case !notified[host.Name]:
				notified[host.Name] = true
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

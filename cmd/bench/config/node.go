// Package config measures how long an accepted configuration change takes until
// it is in force at every process, and what the control traffic costs.
//
// One process for each host runs the real configurations.Node over real links
// against the fake platform. Many nodes within one process were rejected: they
// would share a scheduler, a heap and the counters of /proc.
package config

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"firford/lib/configurations"
	"firford/lib/hosts"
	"firford/lib/invariants"
	"firford/lib/links"
	"firford/lib/logs"
	"firford/lib/platform"
)

const (
	methodChange  = "bench.change"
	methodApplied = "bench.applied"

	// mostApplied bounds the record of one process; a run makes fewer changes.
	mostApplied = 10_000
)

type (
	// NodeCommand runs one process of the measurement.
	NodeCommand struct {
		Name     string `arg:"--name,required" help:"name of the host"`
		Listen   string `arg:"--listen,required" help:"address of the links listener"`
		Platform string `arg:"--platform,required" help:"address of the fake platform"`
		Key      string `arg:"--key" default:"bench" help:"fleet key"`
	}

	// applied is the time at which a revision came into force at a process.
	applied struct {
		Revision int64     `json:"revision"`
		At       time.Time `json:"at"`
	}

	appliedParams struct {
		After int64 `json:"after"`
	}

	appliedResult struct {
		Applied []applied `json:"applied"`
	}

	changeParams struct {
		ID     string  `json:"id"`
		Name   string  `json:"name"`
		Weight float64 `json:"weight"`
	}

	changeResult struct {
		Revision int64     `json:"revision"`
		At       time.Time `json:"at"`
	}

	process struct {
		node *configurations.Node

		mutex   sync.Mutex
		applied []applied
	}
)

// Run serves until the context ends.
func (command *NodeCommand) Run(ctx context.Context) error {
	logger, err := logs.New("warn", command.Name)
	if err != nil {
		return err
	}
	client := platform.New(command.Platform, "")
	watcher := hosts.NewWatcher(client, logger)
	router := links.NewRouter()
	options := links.Options{
		Self: links.Identity{Name: command.Name, Role: hosts.RoleAgent, Incarnation: fmt.Sprint(os.Getpid())},
		Key:  []byte(command.Key), Router: router, Logger: logger,
	}
	node := configurations.NewNode(configurations.Dependencies{
		Self: command.Name, Table: client, Hosts: watcher.Current, Links: options,
		Checker: invariants.New(logger, tally.NoopScope, true), Logger: logger, Scope: tally.NoopScope,
	})
	options.HeartbeatPayload, options.OnHeartbeat = node.HeartbeatPayload, node.OnHeartbeat
	node.Register(router)
	running := &process{node: node}
	links.OnCall(router, methodChange, running.change)
	links.OnCall(router, methodApplied, running.list)
	listener, err := net.Listen("tcp", command.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	go watcher.Run(ctx)
	go node.Run(ctx)
	go running.record(ctx, logger)
	return links.Serve(ctx, listener, options)
}

// record notes when each revision comes into force.
func (running *process) record(ctx context.Context, logger *zap.Logger) {
	var last int64
	for {
		snapshot, err := running.node.Wait(ctx, last)
		if err != nil {
			return
		}
		now := time.Now()
		running.mutex.Lock()
		if len(running.applied) < mostApplied {
			running.applied = append(running.applied, applied{Revision: snapshot.Revision, At: now})
		} else {
			logger.Warn("record of applied revisions is full")
		}
		running.mutex.Unlock()
		last = snapshot.Revision
	}
}

func (running *process) list(_ context.Context, _ *links.Link, params appliedParams) (appliedResult, error) {
	running.mutex.Lock()
	defer running.mutex.Unlock()
	var result appliedResult
	for _, each := range running.applied {
		if each.Revision > params.After {
			result.Applied = append(result.Applied, each)
		}
	}
	return result, nil
}

// change replaces an organisation, whatever its revision is.
func (running *process) change(ctx context.Context, _ *links.Link, params changeParams) (changeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	_, expected, _ := configurations.Lookup[configurations.Organisation](running.node.Current(), params.Name)
	change, err := running.node.Change(ctx, configurations.Request{
		ID: params.ID, Operator: "bench", Kind: configurations.KindOrganisation, Name: params.Name, ExpectedRevision: expected,
		Object: configurations.Organisation{Name: params.Name, TokenHash: fmt.Sprintf("%064x", len(params.Name)), Weight: params.Weight},
	})
	return changeResult{Revision: change.Revision, At: time.Now()}, err
}

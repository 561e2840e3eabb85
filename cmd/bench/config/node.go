// Package config measures how long an accepted configuration change takes until
// it is in force at every process, and what the control traffic costs.
//
// Each host has its own process, which runs the real configurations.Node over real
// links against the fake platform. Running several nodes in one process was rejected
// because they would share a scheduler, a heap and the counters of /proc.
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

	// maxAppliedRecords bounds the records of one process; a run makes fewer changes.
	maxAppliedRecords = 10_000
)

type (
	// NodeCommand runs one process of the measured fleet.
	NodeCommand struct {
		Name     string `arg:"--name,required" help:"name of the host"`
		Listen   string `arg:"--listen,required" help:"address of the links listener"`
		Platform string `arg:"--platform,required" help:"address of the fake platform"`
		Key      string `arg:"--key" default:"bench" help:"fleet key"`
	}

	// appliedRevision records when a revision came into force at a process.
	appliedRevision struct {
		Revision int64     `json:"revision"`
		At       time.Time `json:"at"`
	}

	appliedParams struct {
		After int64 `json:"after"`
	}

	appliedResult struct {
		Applied []appliedRevision `json:"applied"`
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

	// nodeServer answers the driver's calls with the node of this process.
	nodeServer struct {
		node *configurations.Node

		mutex   sync.Mutex
		applied []appliedRevision
	}
)

// Run serves links until the context ends.
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
	server := &nodeServer{node: node}
	links.OnCall(router, methodChange, server.makeChange)
	links.OnCall(router, methodApplied, server.listApplied)
	listener, err := net.Listen("tcp", command.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	go watcher.Run(ctx)
	go node.Run(ctx)
	go server.recordApplied(ctx, logger)
	return links.Serve(ctx, listener, options)
}

// recordApplied records when each revision comes into force.
func (server *nodeServer) recordApplied(ctx context.Context, logger *zap.Logger) {
	var last int64
	for {
		snapshot, err := server.node.Wait(ctx, last)
		if err != nil {
			return
		}
		now := time.Now()
		server.mutex.Lock()
		if len(server.applied) < maxAppliedRecords {
			server.applied = append(server.applied, appliedRevision{Revision: snapshot.Revision, At: now})
		} else {
			logger.Warn("record of applied revisions is full")
		}
		server.mutex.Unlock()
		last = snapshot.Revision
	}
}

// listApplied returns the records of the revisions after the given one.
func (server *nodeServer) listApplied(_ context.Context, _ *links.Link, params appliedParams) (appliedResult, error) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	var result appliedResult
	for _, applied := range server.applied {
		if applied.Revision > params.After {
			result.Applied = append(result.Applied, applied)
		}
	}
	return result, nil
}

// makeChange replaces an organisation at its current revision.
func (server *nodeServer) makeChange(ctx context.Context, _ *links.Link, params changeParams) (changeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	_, expected, _ := configurations.Lookup[configurations.Organisation](server.node.Current(), params.Name)
	change, err := server.node.Change(ctx, configurations.Request{
		ID: params.ID, Operator: "bench", Kind: configurations.KindOrganisation, Name: params.Name, ExpectedRevision: expected,
		Object: configurations.Organisation{Name: params.Name, TokenHash: fmt.Sprintf("%064x", len(params.Name)), Weight: params.Weight},
	})
	return changeResult{Revision: change.Revision, At: time.Now()}, err
}

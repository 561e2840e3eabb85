package stagings

// The agent that is to read a piece from the origin may have stopped, be cut off, or have
// lost its engine. The agents that are next in line for the piece therefore ask it from
// time to time whether it takes part. The first one that finds all before it gone becomes
// the reader: it reads the piece and pushes it on as the other one would have done.
//
// Without this, the pieces of stopped readers were read only after all other pieces had
// arrived and none had been pushed for a while, and nobody pushed them on.

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"firford/lib/hosts"
	"firford/lib/waits"
)

const (
	// readerCheckInterval is the pause between two questions to the same agent.
	readerCheckInterval = 400 * time.Millisecond
	// stoppedAfterChecks is how many questions in a row an agent leaves unanswered until it
	// counts as stopped. A link that is full of pieces may delay one answer for too long.
	stoppedAfterChecks = 2
)

// replaceStoppedReaders makes this agent the reader of pieces whose readers have stopped,
// until the context ends. The agents of a small fleet need not ask: they leave those that do
// not answer out of their plans.
func (node *Node) replaceStoppedReaders(ctx context.Context, content *content, target Target) {
	if !isLargeFleet(len(node.FleetView().Peers)) {
		return
	}
	unanswered := map[string]int{}
	for ctx.Err() == nil && node.isWanted(content) {
		lines := node.planFor(target).predecessors(content.missing())
		node.askPredecessors(content, lines, unanswered)
		for _, piece := range slices.Sorted(maps.Keys(lines)) {
			if allStopped(lines[piece], unanswered) {
				node.takeOverPiece(target, piece)
				node.Logger.Info("reader replaced", zap.Int("version", target.Version), zap.Int("piece", piece), zap.String("peer", lines[piece][0].Name))
			}
		}
		waits.Sleep(ctx, readerCheckInterval)
	}
}

// askPredecessors asks all agents of the lines whether they take part in the version, and
// counts for each how often in a row it has not answered.
func (node *Node) askPredecessors(content *content, lines map[int][]hosts.Host, unanswered map[string]int) {
	asked := map[string]Peer{}
	for _, line := range lines {
		for _, host := range line {
			asked[host.Name] = Peer{Host: host}
		}
	}
	for name := range asked {
		unanswered[name]++
	}
	for _, peer := range node.askPeers(content, slices.Collect(maps.Values(asked))) {
		unanswered[peer.Host.Name] = 0
	}
}

func allStopped(line []hosts.Host, unanswered map[string]int) bool {
	return !slices.ContainsFunc(line, func(host hosts.Host) bool { return unanswered[host.Name] < stoppedAfterChecks })
}

// takeOverPiece makes this agent the reader of the piece in its plans for the target.
func (node *Node) takeOverPiece(target Target, piece int) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.takenOver[target.Version] = append(node.takenOver[target.Version], piece)
	if plan, isPlanned := node.plans[target.Version]; isPlanned {
		node.plans[target.Version] = plan.WithOwnPieces([]int{piece})
	}
}

// predecessors returns, for each of the pieces that this agent is to read if others have
// stopped, these others: the reader, and the agents that come before this one in the
// reader's region. The agents of other regions push the piece on or wait for it as before.
func (plan Plan) predecessors(pieces []int) map[int][]hosts.Host {
	lines := map[int][]hosts.Host{}
	for _, piece := range pieces {
		reader := plan.originReaders[piece]
		if reader.Name == "" || reader.Name == plan.self.Name || reader.Region != plan.self.Region {
			continue
		}
		line := append([]hosts.Host{reader}, plan.nextReaders(piece)...)
		if i := slices.IndexFunc(line, func(host hosts.Host) bool { return host.Name == plan.self.Name }); i > 0 {
			lines[piece] = line[:i]
		}
	}
	return lines
}

// nextReaders returns the agents of the reader's region that read the piece if the reader
// has stopped, the first one first.
func (plan Plan) nextReaders(piece int) []hosts.Host {
	reader := plan.originReaders[piece]
	others := hosts.Select(plan.agents, func(host hosts.Host) bool { return host.Region == reader.Region && host.Name != reader.Name })
	ranked := hosts.Rank(plan.key+"/next/"+strconv.Itoa(piece), others)
	return ranked[:min(baseReplacements, len(ranked))]
}

// WithOwnPieces returns the plan in which this agent reads the pieces from the origin and
// brings them into its region, but for those that another agent has.
func (plan Plan) WithOwnPieces(pieces []int) Plan {
	region := plan.self.Region
	plan.originReaders = slices.Clone(plan.originReaders)
	plan.regionalFetchers = maps.Clone(plan.regionalFetchers)
	plan.regionalFetchers[region] = slices.Clone(plan.regionalFetchers[region])
	for _, piece := range pieces {
		if plan.originReaders[piece].Name != "" {
			plan.originReaders[piece], plan.regionalFetchers[region][piece] = plan.self, plan.self
		}
	}
	return plan
}

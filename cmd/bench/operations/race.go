package operations

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"firford/lib/operators/wire"
)

const (
	roundInterval  = 2 * time.Second
	pollInterval   = 500 * time.Millisecond
	roundTimeout   = time.Minute
	compareTimeout = 30 * time.Second
	operatorCount  = 2
	weightSteps    = 1000
	minWeight      = 1.0
	weightScale    = 100.0
)

type (
	// Command makes two operators submit conflicting changes at the same time, and
	// checks that accepted changes come into force and stay in force.
	Command struct {
		Directory string        `arg:"--directory,required" help:"the fleet's directory; the result is written to operations.json there"`
		Operators []string      `arg:"--operators,required,separate" help:"operator addresses of the entries"`
		Length    time.Duration `arg:"--length" default:"60s" help:"how long to start new rounds"`
		Seed      uint64        `arg:"--seed" default:"1"`
	}

	// Result counts the outcomes that the operators observed. Conflicts are changes
	// that were rejected because of another change. Unresolved are all other failed
	// changes, and rounds that could not start.
	Result struct {
		Rounds     int      `json:"rounds"`
		Accepted   int      `json:"accepted"`
		Conflicts  int      `json:"conflicts"`
		Unresolved int      `json:"unresolved"`
		Polls      int      `json:"surveys"`
		Violations []string `json:"violations"`
	}

	race struct {
		command *Command

		mutex  sync.Mutex
		check  PropagationCheck
		newest int64
		// expected holds the last accepted change of each organisation.
		expected map[string]acceptedChange
		result   Result
	}

	acceptedChange struct {
		revision int64
		weight   float64
	}
)

// Run starts rounds until the time is over, and then waits until the last changes
// must be in force.
func (command *Command) Run(ctx context.Context) error {
	race := &race{command: command, expected: map[string]acceptedChange{}, result: Result{Violations: []string{}}}
	roundsCtx, stop := context.WithTimeout(ctx, command.Length)
	defer stop()
	pollCtx, stopPolling := context.WithCancel(ctx)
	defer stopPolling()
	var poller sync.WaitGroup
	poller.Go(func() { race.pollUntilDone(pollCtx) })
	err := race.runRounds(roundsCtx)
	time.Sleep(PropagationLimit + time.Second)
	stopPolling()
	poller.Wait()
	if err == nil {
		err = race.compareEntries(ctx)
	}
	if err != nil {
		return err
	}
	return race.writeResult()
}

func (race *race) newClient() (*Client, error) {
	return NewClient(race.command.Operators, filepath.Join(race.command.Directory, "operator.token"))
}

func (race *race) runRounds(ctx context.Context) error {
	clients := make([]*Client, operatorCount)
	for i := range clients {
		client, err := race.newClient()
		if err != nil {
			return err
		}
		defer client.Close()
		client.next = i
		clients[i] = client
	}
	random := rand.New(rand.NewPCG(race.command.Seed, 0))
	for ctx.Err() == nil {
		race.runRound(clients, random)
		select {
		case <-ctx.Done():
		case <-time.After(roundInterval):
		}
	}
	return nil
}

// runRound makes all operators change the weight of the same organisation from the
// same revision at the same time. At most one change may be accepted.
func (race *race) runRound(clients []*Client, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), roundTimeout)
	defer cancel()
	name := fmt.Sprintf("organisation-%02d", 1+random.IntN(10))
	before, err := readOrganisation(ctx, clients[0], name)
	if err != nil {
		race.updateResult(func(result *Result) { result.Unresolved++ })
		return
	}
	accepted := make([]bool, len(clients))
	var updates sync.WaitGroup
	for i, client := range clients {
		weight := minWeight + float64(random.IntN(weightSteps))/weightScale
		id := NewRequestID(random)
		updates.Go(func() { accepted[i] = race.update(ctx, client, before, weight, id) })
	}
	updates.Wait()
	acceptedCount := 0
	for _, isAccepted := range accepted {
		if isAccepted {
			acceptedCount++
		}
	}
	race.updateResult(func(result *Result) {
		result.Rounds++
		if acceptedCount > 1 {
			result.Violations = append(result.Violations, fmt.Sprintf("%s: %d conflicting changes from revision %d were accepted", name, acceptedCount, before.GetRevision()))
		}
	})
}

func readOrganisation(ctx context.Context, client *Client, name string) (*wire.Entry, error) {
	var entry *wire.Entry
	err := client.Retry(ctx, func(ctx context.Context, operators wire.OperatorsClient) (err error) {
		entry, err = operators.Get(ctx, &wire.GetRequest{Kind: wire.Kind_KIND_ORGANISATION, Name: name})
		return err
	})
	return entry, err
}

// update submits a new weight and reports whether the change was accepted.
func (race *race) update(ctx context.Context, client *Client, before *wire.Entry, weight float64, id string) bool {
	current := before.GetObject().GetOrganisation()
	changed := &wire.Organisation{
		Name: current.GetName(), TokenHash: current.GetTokenHash(), Weight: weight,
		RequestsPerS: current.GetRequestsPerS(), InFlight: current.GetInFlight(),
	}
	request := &wire.UpdateRequest{
		RequestId: id, ExpectedRevision: before.GetRevision(),
		Object: &wire.Object{Value: &wire.Object_Organisation{Organisation: changed}},
	}
	var answer *wire.Accepted
	err := client.Retry(ctx, func(ctx context.Context, operators wire.OperatorsClient) (err error) {
		answer, err = operators.Update(ctx, request)
		return err
	})
	switch {
	case err == nil:
		race.recordAccepted(changed, answer.GetRevision())
		return true
	case status.Code(err) == codes.Aborted || status.Code(err) == codes.FailedPrecondition:
		race.updateResult(func(result *Result) { result.Conflicts++ })
	default:
		race.updateResult(func(result *Result) { result.Unresolved++ })
	}
	return false
}

func (race *race) recordAccepted(changed *wire.Organisation, revision int64) {
	race.mutex.Lock()
	defer race.mutex.Unlock()
	race.check = race.check.WithAccepted(revision, time.Now())
	race.newest = max(race.newest, revision)
	if race.expected[changed.GetName()].revision < revision {
		race.expected[changed.GetName()] = acceptedChange{revision: revision, weight: changed.GetWeight()}
	}
}

func (race *race) updateResult(update func(*Result)) {
	race.mutex.Lock()
	defer race.mutex.Unlock()
	update(&race.result)
}

// pollUntilDone polls the revisions of all processes until the context ends.
func (race *race) pollUntilDone(ctx context.Context) {
	client, err := race.newClient()
	if err != nil {
		return
	}
	defer client.Close()
	for ctx.Err() == nil {
		race.poll(ctx, client)
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
}

// poll asks an entry which processes lack the newest accepted revision. The others
// have it in force, so they need no check.
func (race *race) poll(ctx context.Context, client *Client) {
	race.mutex.Lock()
	newest := race.newest
	race.mutex.Unlock()
	if newest == 0 {
		return
	}
	pollTime := time.Now()
	var answer *wire.RevisionStatus
	err := client.Retry(ctx, func(ctx context.Context, operators wire.OperatorsClient) (err error) {
		answer, err = operators.GetRevisionStatus(ctx, &wire.RevisionStatusRequest{Revision: newest})
		return err
	})
	if err != nil {
		return
	}
	var processes []ProcessRevision
	for _, process := range answer.GetBehind() {
		processes = append(processes, ProcessRevision{Process: process.GetName(), Revision: process.GetRevision(), Reached: process.GetProblem() == ""})
	}
	race.mutex.Lock()
	defer race.mutex.Unlock()
	race.check = race.check.WithPoll(pollTime, processes)
	race.result.Polls++
}

// compareEntries reads every changed organisation at every entry and compares it
// with the last accepted change. This detects accepted changes that were lost or
// reverted later.
func (race *race) compareEntries(ctx context.Context) error {
	client, err := race.newClient()
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	authorisedCtx, entries := client.Entries(ctx)
	for name, last := range race.expected {
		for number, entry := range entries {
			actual, err := entry.Get(authorisedCtx, &wire.GetRequest{Kind: wire.Kind_KIND_ORGANISATION, Name: name})
			if err != nil {
				continue // An entry that is down has no configuration to compare.
			}
			if weight := actual.GetObject().GetOrganisation().GetWeight(); weight != last.weight || actual.GetRevision() != last.revision {
				race.result.Violations = append(race.result.Violations, fmt.Sprintf(
					"entry %d: %s has weight %g of revision %d, but weight %g was accepted in revision %d",
					number+1, name, weight, actual.GetRevision(), last.weight, last.revision))
			}
		}
	}
	return nil
}

func (race *race) writeResult() error {
	race.result.Accepted = race.check.Accepted()
	race.result.Violations = append(race.result.Violations, race.check.Violations()...)
	encoded, err := json.MarshalIndent(race.result, "", "  ")
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	path := filepath.Join(race.command.Directory, "operations.json")
	if err := os.WriteFile(path, append(encoded, '\n'), 0o644); err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	return nil
}

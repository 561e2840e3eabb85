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
	roundPause   = 2 * time.Second
	surveyPause  = 500 * time.Millisecond
	changeLimit  = time.Minute
	settleLimit  = 30 * time.Second
	racers       = 2
	weightSteps  = 1000
	leastWeight  = 1.0
	weightDigits = 100.0
)

type (
	// Command lets two operators race each other with conflicting changes, and
	// checks that accepted changes come into force and stay so.
	Command struct {
		Directory string        `arg:"--directory,required" help:"the fleet's directory; the result is written to operations.json there"`
		Operators []string      `arg:"--operators,required,separate" help:"operator addresses of the entries"`
		Length    time.Duration `arg:"--length" default:"60s" help:"how long to go on"`
		Seed      uint64        `arg:"--seed" default:"1"`
	}

	// Result is what the operators saw, judged from outside.
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
		// intended holds, for each organisation, the last accepted change.
		intended map[string]accepted
		result   Result
	}

	accepted struct {
		revision int64
		weight   float64
	}
)

// Run races until the time is over, then waits for the last changes.
func (command *Command) Run(ctx context.Context) error {
	race := &race{command: command, intended: map[string]accepted{}, result: Result{Violations: []string{}}}
	racing, stop := context.WithTimeout(ctx, command.Length)
	defer stop()
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	var watcher sync.WaitGroup
	watcher.Go(func() { race.survey(watching) })
	err := race.rounds(racing)
	time.Sleep(PropagationLimit + time.Second)
	stopWatching()
	watcher.Wait()
	if err == nil {
		err = race.compare(ctx)
	}
	if err != nil {
		return err
	}
	return race.write()
}

func (race *race) client() (*Client, error) {
	return NewClient(race.command.Operators, filepath.Join(race.command.Directory, "operator.token"))
}

func (race *race) rounds(ctx context.Context) error {
	clients := make([]*Client, racers)
	for i := range clients {
		client, err := race.client()
		if err != nil {
			return err
		}
		defer client.Close()
		client.next = i
		clients[i] = client
	}
	random := rand.New(rand.NewPCG(race.command.Seed, 0))
	for ctx.Err() == nil {
		race.round(clients, random)
		select {
		case <-ctx.Done():
		case <-time.After(roundPause):
		}
	}
	return nil
}

// round lets all operators change the weight of the same organisation from the
// same revision at the same time. Exactly one of them may win.
func (race *race) round(clients []*Client, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), changeLimit)
	defer cancel()
	name := fmt.Sprintf("organisation-%02d", 1+random.IntN(10))
	before, err := readOrganisation(ctx, clients[0], name)
	if err != nil {
		race.count(func(result *Result) { result.Unresolved++ })
		return
	}
	winners := make([]bool, len(clients))
	var racers sync.WaitGroup
	for i, client := range clients {
		weight := leastWeight + float64(random.IntN(weightSteps))/weightDigits
		id := NewRequestID(random)
		racers.Go(func() { winners[i] = race.update(ctx, client, before, weight, id) })
	}
	racers.Wait()
	won := 0
	for _, winner := range winners {
		if winner {
			won++
		}
	}
	race.count(func(result *Result) {
		result.Rounds++
		if won > 1 {
			result.Violations = append(result.Violations, fmt.Sprintf("%s: %d conflicting changes from revision %d were accepted", name, won, before.GetRevision()))
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

// update reports whether the change was accepted.
func (race *race) update(ctx context.Context, client *Client, before *wire.Entry, weight float64, id string) bool {
	known := before.GetObject().GetOrganisation()
	changed := &wire.Organisation{
		Name: known.GetName(), TokenHash: known.GetTokenHash(), Weight: weight,
		RequestsPerS: known.GetRequestsPerS(), InFlight: known.GetInFlight(),
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
		race.accept(changed, answer.GetRevision())
		return true
	case status.Code(err) == codes.Aborted || status.Code(err) == codes.FailedPrecondition:
		race.count(func(result *Result) { result.Conflicts++ })
	default:
		race.count(func(result *Result) { result.Unresolved++ })
	}
	return false
}

func (race *race) accept(changed *wire.Organisation, revision int64) {
	race.mutex.Lock()
	defer race.mutex.Unlock()
	race.check = race.check.WithAccepted(revision, time.Now())
	race.newest = max(race.newest, revision)
	if race.intended[changed.GetName()].revision < revision {
		race.intended[changed.GetName()] = accepted{revision: revision, weight: changed.GetWeight()}
	}
}

func (race *race) count(add func(*Result)) {
	race.mutex.Lock()
	defer race.mutex.Unlock()
	add(&race.result)
}

// survey asks all processes for their revision until the context ends.
func (race *race) survey(ctx context.Context) {
	client, err := race.client()
	if err != nil {
		return
	}
	defer client.Close()
	for ctx.Err() == nil {
		race.surveyOnce(ctx, client)
		select {
		case <-ctx.Done():
		case <-time.After(surveyPause):
		}
	}
}

// surveyOnce asks for the newest accepted revision. Processes that the answer
// does not list as behind have it in force; their sighting needs no name.
func (race *race) surveyOnce(ctx context.Context, client *Client) {
	race.mutex.Lock()
	newest := race.newest
	race.mutex.Unlock()
	if newest == 0 {
		return
	}
	asked := time.Now()
	var answer *wire.RevisionStatus
	err := client.Retry(ctx, func(ctx context.Context, operators wire.OperatorsClient) (err error) {
		answer, err = operators.GetRevisionStatus(ctx, &wire.RevisionStatusRequest{Revision: newest})
		return err
	})
	if err != nil {
		return
	}
	var sightings []ProcessRevision
	for _, process := range answer.GetBehind() {
		sightings = append(sightings, ProcessRevision{Process: process.GetName(), Revision: process.GetRevision(), Reached: process.GetProblem() == ""})
	}
	race.mutex.Lock()
	defer race.mutex.Unlock()
	race.check = race.check.WithPoll(asked, sightings)
	race.result.Polls++
}

// compare reads every changed organisation at every entry and compares it with
// the last accepted change: a change that was undone shows here.
func (race *race) compare(ctx context.Context) error {
	client, err := race.client()
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	calling, entries := client.Entries(ctx)
	for name, last := range race.intended {
		for number, entry := range entries {
			found, err := entry.Get(calling, &wire.GetRequest{Kind: wire.Kind_KIND_ORGANISATION, Name: name})
			if err != nil {
				continue // An entry that is down holds no configuration.
			}
			if weight := found.GetObject().GetOrganisation().GetWeight(); weight != last.weight || found.GetRevision() != last.revision {
				race.result.Violations = append(race.result.Violations, fmt.Sprintf(
					"entry %d: %s has weight %g of revision %d, accepted was %g in revision %d",
					number+1, name, weight, found.GetRevision(), last.weight, last.revision))
			}
		}
	}
	return nil
}

func (race *race) write() error {
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

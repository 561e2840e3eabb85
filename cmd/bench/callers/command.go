package callers

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	repeatPause = 100 * time.Millisecond
	promptKinds = 20
)

type (
	// Command keeps asking until its time is over or it is interrupted.
	Command struct {
		Entries       []string      `arg:"--entries,required,separate" help:"callers' addresses of the entries"`
		Tokens        string        `arg:"--tokens,required" help:"file with a line for each organisation: its name and token"`
		Engines       []string      `arg:"--engines,separate" help:"deployments of engines to ask"`
		Services      []string      `arg:"--services,separate" help:"deployments of plain services to ask"`
		Record        string        `arg:"--record,required" help:"file to which each ended request is appended as a line of JSON"`
		Length        time.Duration `arg:"--length" default:"60s" help:"how long to go on"`
		Concurrency   int           `arg:"--concurrency" default:"16" help:"callers that ask at the same time"`
		Pause         time.Duration `arg:"--pause" default:"20ms" help:"pause of each caller after an answer"`
		Budget        time.Duration `arg:"--budget" default:"6s" help:"time that each request may take"`
		MaxTokens     int           `arg:"--max-tokens" default:"20" help:"length of the answers of engines"`
		NonIdempotent float64       `arg:"--non-idempotent" default:"0.2" help:"share of requests that must not run twice"`
		Seed          uint64        `arg:"--seed" default:"1"`
	}

	// crowd is a running command.
	crowd struct {
		command *Command
		asker   *Client
		tokens  []string
		prefix  string

		mutex  sync.Mutex
		record *os.File
		failed error
	}
)

// Run asks until the time is over, then waits for the requests in progress.
func (command *Command) Run(ctx context.Context) error {
	tokens, err := readTokens(command.Tokens)
	if err != nil {
		return err
	}
	// A caller that is killed and started again goes on in the same record.
	file, err := os.OpenFile(command.Record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("open record: %w", err)
	}
	defer func() { _ = file.Close() }()
	crowd := &crowd{
		command: command, asker: NewClient(), tokens: tokens, record: file,
		// Keys must not meet those of an earlier run on the same fleet.
		prefix: fmt.Sprintf("%x", time.Now().UnixNano()),
	}
	ctx, cancel := context.WithTimeout(ctx, command.Length)
	defer cancel()
	var callers sync.WaitGroup
	for number := range command.Concurrency {
		random := rand.New(rand.NewPCG(command.Seed, uint64(number)))
		callers.Go(func() { crowd.call(ctx, number, random) })
	}
	callers.Wait()
	return crowd.failed
}

func readTokens(path string) ([]string, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read tokens: %w", err)
	}
	var tokens []string
	for _, line := range strings.Split(strings.TrimSpace(string(body)), "\n") {
		_, token, found := strings.Cut(line, " ")
		if !found {
			return nil, fmt.Errorf("%s: line %q is not a name and a token", path, line)
		}
		tokens = append(tokens, token)
	}
	return tokens, nil
}

// call asks one question after the other until the context ends.
func (crowd *crowd) call(ctx context.Context, number int, random *rand.Rand) {
	for count := 0; ctx.Err() == nil; count++ {
		question := crowd.question(fmt.Sprintf("%s-%d-%d", crowd.prefix, number, count), random)
		crowd.write(crowd.insist(question, random))
		select {
		case <-ctx.Done():
		case <-time.After(crowd.command.Pause):
		}
	}
}

func (crowd *crowd) question(key string, random *rand.Rand) Request {
	command := crowd.command
	question := Request{
		Key:        key,
		Token:      crowd.tokens[random.IntN(len(crowd.tokens))],
		Idempotent: random.Float64() >= command.NonIdempotent,
		Prompt:     fmt.Sprintf("Assess intake %d, request %s", random.IntN(promptKinds), key),
		MaxTokens:  command.MaxTokens,
		Deadline:   time.Now().Add(command.Budget),
	}
	all := len(command.Engines) + len(command.Services)
	chosen := random.IntN(all)
	if chosen < len(command.Engines) {
		question.Deployment = command.Engines[chosen]
	} else {
		question.Deployment, question.Service = command.Services[chosen-len(command.Engines)], true
	}
	return question
}

// insist asks as a careful program does: a connection that ends without an
// outcome is tried again at the next entry, with the same key. The balancer's
// part is played here: an entry that refuses connections is passed over.
func (crowd *crowd) insist(question Request, random *rand.Rand) RequestRecord {
	entries := crowd.command.Entries
	next := random.IntN(len(entries))
	asked := RequestRecord{
		Key: question.Key, Deployment: question.Deployment, Idempotent: question.Idempotent,
		Started: time.Now(), Deadline: question.Deadline,
	}
	for {
		asked.Entry = entries[next%len(entries)]
		crowd.asker.Send(asked.Entry, question, &asked)
		if asked.Outcome != OutcomeLost || !time.Now().Add(repeatPause).Before(question.Deadline) {
			return asked
		}
		asked.FirstPart = time.Time{}
		next++
		time.Sleep(repeatPause)
	}
}

func (crowd *crowd) write(asked RequestRecord) {
	encoded, err := json.Marshal(asked)
	if err != nil {
		return
	}
	crowd.mutex.Lock()
	defer crowd.mutex.Unlock()
	if _, err := crowd.record.Write(append(encoded, '\n')); err != nil && crowd.failed == nil {
		crowd.failed = fmt.Errorf("write record: %w", err)
	}
}

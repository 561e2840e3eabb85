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
	retryPause        = 100 * time.Millisecond
	promptPrefixCount = 20
)

type (
	// Command sends requests until its time is over or it is interrupted.
	Command struct {
		Entries       []string      `arg:"--entries,required,separate" help:"callers' addresses of the entries"`
		Tokens        string        `arg:"--tokens,required" help:"file with a line for each organisation: its name and token"`
		Engines       []string      `arg:"--engines,separate" help:"deployments of engines to send requests to"`
		Services      []string      `arg:"--services,separate" help:"deployments of plain services to send requests to"`
		Record        string        `arg:"--record,required" help:"file to which each ended request is appended as a line of JSON"`
		Length        time.Duration `arg:"--length" default:"60s" help:"how long to send requests"`
		Concurrency   int           `arg:"--concurrency" default:"16" help:"callers that send requests at the same time"`
		Pause         time.Duration `arg:"--pause" default:"20ms" help:"pause of each caller after an answer"`
		Budget        time.Duration `arg:"--budget" default:"6s" help:"time that each request may take"`
		MaxTokens     int           `arg:"--max-tokens" default:"20" help:"length of the answers of engines"`
		NonIdempotent float64       `arg:"--non-idempotent" default:"0.2" help:"share of requests that must not run twice"`
		Seed          uint64        `arg:"--seed" default:"1"`
	}

	// loadGenerator is a running Command. Its methods are safe for concurrent use.
	loadGenerator struct {
		command   *Command
		client    *Client
		tokens    []string
		keyPrefix string

		mutex      sync.Mutex
		recordFile *os.File
		writeErr   error
	}
)

// Run sends requests until the time is over, then waits for those in flight.
func (command *Command) Run(ctx context.Context) error {
	tokens, err := readTokens(command.Tokens)
	if err != nil {
		return err
	}
	// A load generator that is killed and restarted appends to the same record.
	file, err := os.OpenFile(command.Record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("open record: %w", err)
	}
	defer func() { _ = file.Close() }()
	generator := &loadGenerator{
		command: command, client: NewClient(), tokens: tokens, recordFile: file,
		// Keys must differ from those of an earlier run on the same fleet.
		keyPrefix: fmt.Sprintf("%x", time.Now().UnixNano()),
	}
	ctx, cancel := context.WithTimeout(ctx, command.Length)
	defer cancel()
	var callers sync.WaitGroup
	for number := range command.Concurrency {
		random := rand.New(rand.NewPCG(command.Seed, uint64(number)))
		callers.Go(func() { generator.sendRequests(ctx, number, random) })
	}
	callers.Wait()
	return generator.writeErr
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
			return nil, fmt.Errorf("%s: line %q does not hold a name and a token", path, line)
		}
		tokens = append(tokens, token)
	}
	return tokens, nil
}

// sendRequests sends one request after the other until the context ends.
func (generator *loadGenerator) sendRequests(ctx context.Context, number int, random *rand.Rand) {
	for count := 0; ctx.Err() == nil; count++ {
		request := generator.newRequest(fmt.Sprintf("%s-%d-%d", generator.keyPrefix, number, count), random)
		generator.writeRecord(generator.sendWithRetries(request, random))
		select {
		case <-ctx.Done():
		case <-time.After(generator.command.Pause):
		}
	}
}

func (generator *loadGenerator) newRequest(key string, random *rand.Rand) Request {
	command := generator.command
	request := Request{
		Key:        key,
		Token:      generator.tokens[random.IntN(len(generator.tokens))],
		Idempotent: random.Float64() >= command.NonIdempotent,
		Prompt:     fmt.Sprintf("Assess intake %d, request %s", random.IntN(promptPrefixCount), key),
		MaxTokens:  command.MaxTokens,
		Deadline:   time.Now().Add(command.Budget),
	}
	deployments := len(command.Engines) + len(command.Services)
	chosen := random.IntN(deployments)
	if chosen < len(command.Engines) {
		request.Deployment = command.Engines[chosen]
	} else {
		request.Deployment, request.Service = command.Services[chosen-len(command.Engines)], true
	}
	return request
}

// sendWithRetries retries as a careful client does: if a connection ends without
// an outcome, it sends the request again with the same key to the next entry. It
// also stands in for the load balancer by skipping entries that refuse
// connections.
func (generator *loadGenerator) sendWithRetries(request Request, random *rand.Rand) RequestRecord {
	entries := generator.command.Entries
	next := random.IntN(len(entries))
	record := RequestRecord{
		Key: request.Key, Deployment: request.Deployment, Idempotent: request.Idempotent,
		Started: time.Now(), Deadline: request.Deadline,
	}
	for {
		record.Entry = entries[next%len(entries)]
		generator.client.Send(record.Entry, request, &record)
		if record.Outcome != OutcomeLost || !time.Now().Add(retryPause).Before(request.Deadline) {
			return record
		}
		record.FirstPart = time.Time{}
		next++
		time.Sleep(retryPause)
	}
}

func (generator *loadGenerator) writeRecord(record RequestRecord) {
	encoded, err := json.Marshal(record)
	if err != nil {
		return
	}
	generator.mutex.Lock()
	defer generator.mutex.Unlock()
	if _, err := generator.recordFile.Write(append(encoded, '\n')); err != nil && generator.writeErr == nil {
		generator.writeErr = fmt.Errorf("write record: %w", err)
	}
}

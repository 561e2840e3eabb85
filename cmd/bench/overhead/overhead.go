// Package overhead compares the path through an entry and an agent with direct
// calls of the backend server: the added latency by requests in flight, and the
// requests per second. The processes run separately, so that each can be limited
// to one processor; a script starts them.
package overhead

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"firford/cmd/bench/report"
)

const (
	histogramMaximum = int64(time.Minute / time.Microsecond)
	histogramDigits  = 3
	requestTimeout   = 30 * time.Second
	maxConnections   = 4096
	// fastSpeed is the engine's speed factor while requests per second are measured,
	// so that the engine is not the bottleneck.
	fastSpeed = 100
	// throughputInFlight is the number of requests in flight while requests per
	// second are measured.
	throughputInFlight = 128
)

type (
	// Command measures one entry and one agent in front of one backend server.
	Command struct {
		Entry      string        `arg:"--entry,required" help:"callers' address of the entry"`
		Engine     string        `arg:"--engine,required" help:"address of the backend server"`
		Tokens     string        `arg:"--tokens,required" help:"file with a line for each organisation: its name and token"`
		Deployment string        `arg:"--deployment" default:"office"`
		InFlight   []int         `arg:"--in-flight" help:"requests in flight (default: 16 256 1024)"`
		Length     time.Duration `arg:"--length" default:"5s" help:"measured time of each row"`
		Output     string        `arg:"--output" default:"out/bench" help:"directory of the reports"`
	}

	// endpoint sends requests to the entry or directly to the engine. Requests to the
	// entry carry the organisation's token; direct requests have none. The counter
	// provides request ids.
	endpoint struct {
		uri     string
		token   string
		counter *atomic.Int64
	}

	// loadResult is the outcome of one load. Latencies are in microseconds.
	loadResult struct {
		latency      *hdrhistogram.Histogram
		answered     int64
		failed       int64
		requestsPerS float64
		anyError     error // An error of one of the failed requests, for messages.
	}

	// rowSummary is a row of the table, with latencies in milliseconds.
	rowSummary struct {
		InFlight      int     `json:"in_flight"`
		DirectMedian  float64 `json:"direct_median_ms"`
		DirectP99     float64 `json:"direct_p99_ms"`
		ThroughMedian float64 `json:"through_median_ms"`
		ThroughP99    float64 `json:"through_p99_ms"`
		AddedMedian   float64 `json:"added_median_ms"`
		AddedP99      float64 `json:"added_p99_ms"`
		DirectPerS    float64 `json:"direct_per_s"`
		ThroughPerS   float64 `json:"through_per_s"`
		Failed        int64   `json:"failed"`
	}

	// summary is the machine-readable part of the report.
	summary struct {
		Latency        []rowSummary `json:"latency"`
		RequestsPerS   float64      `json:"requests_per_s"`
		DirectPerS     float64      `json:"direct_per_s"`
		RequestsFailed int64        `json:"requests_failed"`
	}
)

// Run measures latencies by requests in flight, then requests per second, and
// prints and saves the report.
func (command *Command) Run(ctx context.Context) error {
	if len(command.InFlight) == 0 {
		command.InFlight = []int{16, 256, 1024}
	}
	token, err := readToken(command.Tokens)
	if err != nil {
		return err
	}
	counter := &atomic.Int64{}
	through := endpoint{uri: "http://" + command.Entry + "/v1/deployments/" + command.Deployment + "/requests", token: token, counter: counter}
	direct := endpoint{uri: "http://" + command.Engine + "/v1/call", counter: counter}
	client := newClient()
	var measured summary
	for _, inFlight := range command.InFlight {
		directResult, throughResult := runLoad(ctx, client, direct, inFlight, command.Length), runLoad(ctx, client, through, inFlight, command.Length)
		if directResult.answered == 0 || throughResult.answered == 0 {
			return fmt.Errorf("no request was answered: %w", cmp.Or(directResult.anyError, throughResult.anyError))
		}
		measured.Latency = append(measured.Latency, newRow(inFlight, directResult, throughResult))
	}
	if err := setSpeed(client, command.Engine, fastSpeed); err != nil {
		return err
	}
	directResult := runLoad(ctx, client, direct, throughputInFlight, command.Length)
	throughResult := runLoad(ctx, client, through, throughputInFlight, command.Length)
	measured.DirectPerS, measured.RequestsPerS, measured.RequestsFailed = directResult.requestsPerS, throughResult.requestsPerS, throughResult.failed
	return command.report(measured)
}

func newClient() *fasthttp.Client {
	return &fasthttp.Client{
		MaxConnsPerHost: maxConnections, MaxIdemponentCallAttempts: 1,
		Dial: func(address string) (net.Conn, error) { return fasthttp.DialTimeout(address, time.Second) },
	}
}

// readToken returns the token of the first organisation in the file.
func readToken(path string) (string, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("read tokens: %w", err)
	}
	line, _, _ := strings.Cut(string(body), "\n")
	_, token, found := strings.Cut(line, " ")
	if !found {
		return "", fmt.Errorf("%s: line %q is not a name and a token", path, line)
	}
	return token, nil
}

// setSpeed sets the speed factor of the engine through its fault interface.
func setSpeed(client *fasthttp.Client, engine string, speed float64) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + engine + "/faults")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBodyString(fmt.Sprintf(`{"speed":%g}`, speed))
	if err := client.DoTimeout(request, response, requestTimeout); err != nil {
		return fmt.Errorf("set the engine's speed: %w", err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("set the engine's speed: status %d: %s", response.StatusCode(), response.Body())
	}
	return nil
}

// runLoad keeps the given number of requests in flight for the given time. Each
// caller first opens its connection with one request that is not counted.
func runLoad(ctx context.Context, client *fasthttp.Client, endpoint endpoint, inFlight int, length time.Duration) loadResult {
	result := loadResult{latency: hdrhistogram.New(1, histogramMaximum, histogramDigits)}
	var mutex sync.Mutex
	var ready, callers sync.WaitGroup
	ready.Add(inFlight)
	startTimes := make(chan time.Time)
	for range inFlight {
		callers.Go(func() {
			_ = endpoint.send(client)
			ready.Done()
			end := (<-startTimes).Add(length)
			latency := hdrhistogram.New(1, histogramMaximum, histogramDigits)
			failed := int64(0)
			var lastError error
			for ctx.Err() == nil && time.Now().Before(end) {
				sent := time.Now()
				if err := endpoint.send(client); err != nil {
					failed++
					lastError = err
					continue
				}
				_ = latency.RecordValue(time.Since(sent).Microseconds()) // Below the maximum because of requestTimeout.
			}
			mutex.Lock()
			defer mutex.Unlock()
			result.latency.Merge(latency)
			result.failed += failed
			result.anyError = cmp.Or(result.anyError, lastError)
		})
	}
	ready.Wait()
	started := time.Now()
	for range inFlight {
		startTimes <- started
	}
	callers.Wait()
	result.answered = result.latency.TotalCount()
	result.requestsPerS = float64(result.answered) / time.Since(started).Seconds()
	return result
}

// send sends one request and reports an error unless it is answered with valid JSON.
func (endpoint endpoint) send(client *fasthttp.Client) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(endpoint.uri)
	request.Header.SetMethod(fasthttp.MethodPost)
	id := strconv.FormatInt(endpoint.counter.Add(1), 36)
	if endpoint.token != "" {
		request.Header.Set("Authorization", "Bearer "+endpoint.token)
		request.SetBodyString(`{"call":"lookup","arguments":"` + id + `"}`)
	} else {
		request.SetBodyString(`{"request_id":"` + id + `","call":"lookup","arguments":"` + id + `"}`)
	}
	if err := client.DoTimeout(request, response, requestTimeout); err != nil {
		return err
	}
	if response.StatusCode() != fasthttp.StatusOK || !json.Valid(response.Body()) {
		return fmt.Errorf("status %d: %.200s", response.StatusCode(), response.Body())
	}
	return nil
}

// quantileMS returns a percentile of the latency in milliseconds.
func (result loadResult) quantileMS(percent float64) float64 {
	return float64(result.latency.ValueAtQuantile(percent)) / 1000
}

func newRow(inFlight int, direct, through loadResult) rowSummary {
	row := rowSummary{
		InFlight: inFlight, DirectMedian: direct.quantileMS(50), DirectP99: direct.quantileMS(99),
		ThroughMedian: through.quantileMS(50), ThroughP99: through.quantileMS(99),
		DirectPerS: direct.requestsPerS, ThroughPerS: through.requestsPerS, Failed: direct.failed + through.failed,
	}
	row.AddedMedian, row.AddedP99 = row.ThroughMedian-row.DirectMedian, row.ThroughP99-row.DirectP99
	return row
}

func (command *Command) report(measured summary) error {
	format := func(value float64) string { return strconv.FormatFloat(value, 'f', 2, 64) }
	table := report.Report{
		Name: "overhead", Command: "make bench_requests", Summary: measured,
		Header: []string{"in flight", "direct median ms", "p99", "through median ms", "p99", "added median ms", "added p99 ms", "direct/s", "through/s", "failed"},
		Notes: []string{fmt.Sprintf("Requests per second through one entry and one agent, %d in flight: %.0f (directly: %.0f), %d failed.",
			throughputInFlight, measured.RequestsPerS, measured.DirectPerS, measured.RequestsFailed)},
	}
	for _, row := range measured.Latency {
		table.Rows = append(table.Rows, []string{
			strconv.Itoa(row.InFlight), format(row.DirectMedian), format(row.DirectP99), format(row.ThroughMedian), format(row.ThroughP99),
			format(row.AddedMedian), format(row.AddedP99), format(row.DirectPerS), format(row.ThroughPerS), strconv.FormatInt(row.Failed, 10),
		})
	}
	return table.Write(command.Output, os.Stdout)
}

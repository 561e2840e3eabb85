// Package overhead measures what the path through an entry and an agent costs
// against calling the backend server directly: added latency by requests in
// flight, and requests per second. The processes run apart, so that each can be
// limited to one processor; a script starts them.
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
	connections      = 4096
	// The engine answers at this speed while requests per second are measured, so
	// that it is not the limit.
	fastSpeed = 100
	inFlight  = 128
)

type (
	// Command measures one entry and one agent in front of one plain service.
	Command struct {
		Entry      string        `arg:"--entry,required" help:"callers' address of the entry"`
		Engine     string        `arg:"--engine,required" help:"address of the backend server"`
		Tokens     string        `arg:"--tokens,required" help:"file with a line for each organisation: its name and token"`
		Deployment string        `arg:"--deployment" default:"office"`
		InFlight   []int         `arg:"--in-flight" help:"requests in flight (default: 16 256 1024)"`
		Length     time.Duration `arg:"--length" default:"5s" help:"measured time of each row"`
		Output     string        `arg:"--output" default:"out/bench" help:"directory of the reports"`
	}

	// target prepares requests to the entry or to the engine.
	target struct {
		uri     string
		token   string
		counter *atomic.Int64
	}

	sample struct {
		latency  *hdrhistogram.Histogram
		answered int64
		failed   int64
		perS     float64
		failure  error // The first one.
	}

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

	summary struct {
		Latency        []rowSummary `json:"latency"`
		RequestsPerS   float64      `json:"requests_per_s"`
		DirectPerS     float64      `json:"direct_per_s"`
		RequestsFailed int64        `json:"requests_failed"`
	}
)

// Run measures and prints the table.
func (command *Command) Run(ctx context.Context) error {
	if len(command.InFlight) == 0 {
		command.InFlight = []int{16, 256, 1024}
	}
	token, err := readToken(command.Tokens)
	if err != nil {
		return err
	}
	counter := &atomic.Int64{}
	through := target{uri: "http://" + command.Entry + "/v1/deployments/" + command.Deployment + "/requests", token: token, counter: counter}
	direct := target{uri: "http://" + command.Engine + "/v1/call", counter: counter}
	client := newClient()
	var measured summary
	for _, count := range command.InFlight {
		directly, whole := load(ctx, client, direct, count, command.Length), load(ctx, client, through, count, command.Length)
		if directly.answered == 0 || whole.answered == 0 {
			return fmt.Errorf("no request was answered: %w", cmp.Or(directly.failure, whole.failure))
		}
		measured.Latency = append(measured.Latency, newRow(count, directly, whole))
	}
	if err := setSpeed(client, command.Engine, fastSpeed); err != nil {
		return err
	}
	directly := load(ctx, client, direct, inFlight, command.Length)
	most := load(ctx, client, through, inFlight, command.Length)
	measured.DirectPerS, measured.RequestsPerS, measured.RequestsFailed = directly.perS, most.perS, most.failed
	return command.report(measured)
}

func newClient() *fasthttp.Client {
	return &fasthttp.Client{
		MaxConnsPerHost: connections, MaxIdemponentCallAttempts: 1,
		Dial: func(address string) (net.Conn, error) { return fasthttp.DialTimeout(address, time.Second) },
	}
}

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

// load keeps the number of requests in flight for the time. Each caller warms
// its connection up with one request that is not counted.
func load(ctx context.Context, client *fasthttp.Client, to target, count int, length time.Duration) sample {
	seen := sample{latency: hdrhistogram.New(1, histogramMaximum, histogramDigits)}
	var mutex sync.Mutex
	var ready, callers sync.WaitGroup
	ready.Add(count)
	begin := make(chan time.Time)
	for range count {
		callers.Go(func() {
			_ = to.ask(client)
			ready.Done()
			end := (<-begin).Add(length)
			own := hdrhistogram.New(1, histogramMaximum, histogramDigits)
			failed := int64(0)
			var failure error
			for ctx.Err() == nil && time.Now().Before(end) {
				asked := time.Now()
				if err := to.ask(client); err != nil {
					failed++
					failure = err
					continue
				}
				_ = own.RecordValue(time.Since(asked).Microseconds()) // Below the maximum by the time-out.
			}
			mutex.Lock()
			defer mutex.Unlock()
			seen.latency.Merge(own)
			seen.failed += failed
			seen.failure = cmp.Or(seen.failure, failure)
		})
	}
	ready.Wait()
	started := time.Now()
	for range count {
		begin <- started
	}
	callers.Wait()
	seen.answered = seen.latency.TotalCount()
	seen.perS = float64(seen.answered) / time.Since(started).Seconds()
	return seen
}

func (to target) ask(client *fasthttp.Client) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(to.uri)
	request.Header.SetMethod(fasthttp.MethodPost)
	id := strconv.FormatInt(to.counter.Add(1), 36)
	if to.token != "" {
		request.Header.Set("Authorization", "Bearer "+to.token)
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

func (seen sample) quantile(percent float64) float64 {
	return float64(seen.latency.ValueAtQuantile(percent)) / 1000
}

func newRow(count int, direct, through sample) rowSummary {
	row := rowSummary{
		InFlight: count, DirectMedian: direct.quantile(50), DirectP99: direct.quantile(99),
		ThroughMedian: through.quantile(50), ThroughP99: through.quantile(99),
		DirectPerS: direct.perS, ThroughPerS: through.perS, Failed: direct.failed + through.failed,
	}
	row.AddedMedian, row.AddedP99 = row.ThroughMedian-row.DirectMedian, row.ThroughP99-row.DirectP99
	return row
}

func (command *Command) report(measured summary) error {
	number := func(value float64) string { return strconv.FormatFloat(value, 'f', 2, 64) }
	table := report.Report{
		Name: "overhead", Command: "make bench_requests", Summary: measured,
		Header: []string{"in flight", "direct median ms", "p99", "through median ms", "p99", "added median ms", "added p99 ms", "direct/s", "through/s", "failed"},
		Notes: []string{fmt.Sprintf("Requests per second through one entry and one agent, %d in flight: %.0f (directly: %.0f), %d failed.",
			inFlight, measured.RequestsPerS, measured.DirectPerS, measured.RequestsFailed)},
	}
	for _, row := range measured.Latency {
		table.Rows = append(table.Rows, []string{
			strconv.Itoa(row.InFlight), number(row.DirectMedian), number(row.DirectP99), number(row.ThroughMedian), number(row.ThroughP99),
			number(row.AddedMedian), number(row.AddedP99), number(row.DirectPerS), number(row.ThroughPerS), strconv.FormatInt(row.Failed, 10),
		})
	}
	return table.Write(command.Output, os.Stdout)
}

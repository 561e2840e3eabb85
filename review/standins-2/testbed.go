package main

// This file holds what all cases share: the addresses on loopback, the store, the entries,
// the record, and the end of all processes.

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	callersPort   = 8005
	readinessPort = 8002
	peerPort      = 7700
	startTimeout  = 10 * time.Second
	// caseTimeout is the longest time that a case may take.
	caseTimeout = 115 * time.Second
)

type (
	testbed struct {
		directory  string
		network    string
		hasTrouble bool
		store      *store
		runs       *runs
		began      time.Time
		recordMu   sync.Mutex
		record     *os.File
		processMu  sync.Mutex
		processes  []*process
		isEnding   bool
	}

	// answer is what a client got. Status is zero if it got no complete answer.
	answer struct {
		id     string
		status int
		body   string
		leaves bool
		err    error
		sentAt time.Time
		took   time.Duration
	}
)

// execute runs a case in a temporary folder and returns the exit code.
func execute(run func(*testbed) (bool, error), recordPath string, hasTrouble bool) int {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }()
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(directory) }()
	testbed := &testbed{
		directory: directory, network: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250)), hasTrouble: hasTrouble,
		runs: &runs{}, began: time.Now(), record: record,
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(caseTimeout):
		}
		testbed.end()
		_ = os.RemoveAll(directory)
		os.Exit(exitNotRun)
	}()
	defer testbed.end()
	isBroken, err := run(testbed)
	switch {
	case err != nil:
		testbed.logf("the case could not run: %v", err)
		return exitNotRun
	case isBroken:
		testbed.logf("RULE BROKEN")
		return exitBroken
	default:
		testbed.logf("rule held")
		return exitHeld
	}
}

// end ends all processes that were started.
func (testbed *testbed) end() {
	testbed.processMu.Lock()
	defer testbed.processMu.Unlock()
	testbed.isEnding = true
	for _, process := range testbed.processes {
		process.kill()
	}
}

// logf writes a line to the record and to the output.
func (testbed *testbed) logf(format string, values ...any) {
	testbed.recordMu.Lock()
	defer testbed.recordMu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(testbed.began).Seconds()) + fmt.Sprintf(format, values...) + "\n"
	_, _ = testbed.record.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// recordf writes a line to the record alone.
func (testbed *testbed) recordf(format string, values ...any) {
	testbed.recordMu.Lock()
	defer testbed.recordMu.Unlock()
	_, _ = fmt.Fprintf(testbed.record, "%8.3f s  "+format+"\n", append([]any{time.Since(testbed.began).Seconds()}, values...)...)
}

// recordRuns writes all runs to the record.
func (testbed *testbed) recordRuns() {
	for _, run := range testbed.runs.all() {
		testbed.recordf("%s ran request %s, which arrived at %.3f s with %d bytes", run.server, run.id, run.at.Sub(testbed.began).Seconds(), run.bytes)
	}
}

// host returns the loopback address of the i-th host of the testbed.
func (testbed *testbed) host(i int) string { return fmt.Sprintf("%s.%d", testbed.network, i) }

func (testbed *testbed) listen(host string) (net.Listener, error) {
	return net.Listen("tcp", host+":0")
}

// startStore starts the store with a configuration.
func (testbed *testbed) startStore(configuration string) error {
	listener, err := testbed.listen(testbed.host(1))
	if err != nil {
		return err
	}
	testbed.store = newStore(listener)
	testbed.store.put("op", "config", configuration)
	return nil
}

// entryFields returns the fields of the settings of the i-th entry, those of the sheet of
// mwangaza-recycle.
func (testbed *testbed) entryFields(i int, storeAddress string) map[string]string {
	host := testbed.host(10 + i)
	return map[string]string{
		"nodeName": fmt.Sprintf("frontend-ruaraka-hall-%d", i), "zone": "ruaraka-hall", "region": "nairobi",
		"zones": "ruaraka-hall:nairobi,changamwe-hall:mombasa,kibos-hall:kisumu", "ip": host,
		"listenersMap.frontend": fmt.Sprintf("%s:%d", host, callersPort), "listenersMap.readiness": fmt.Sprintf("%s:%d", host, readinessPort),
		"internalPorts.0": fmt.Sprint(peerPort), "platform.address": storeAddress,
		"bounds.version_ms": "8000", "bounds.graceS": "8", "bounds.stableWindowMs": "3000", "bounds.configApplyMs": "2000",
		"bounds.warmupOverage": "1.5", "bounds.warmupSlack": "5",
	}
}

// startEntry starts an entry by the command of the deploy file and waits until it is ready.
func (testbed *testbed) startEntry(i int, storeAddress string, extraEnv ...string) (*process, error) {
	fields := testbed.entryFields(i, storeAddress)
	entry, err := newProcess(fields["nodeName"], testbed.directory, "deploy/entry.ini", []string{"target/entry", "--routed"}, extraEnv, fields)
	if err != nil {
		return nil, err
	}
	testbed.processMu.Lock()
	testbed.processes = append(testbed.processes, entry)
	testbed.processMu.Unlock()
	return entry, testbed.restart(entry, i)
}

// restart starts a process that has ended, and waits until the entry is ready.
func (testbed *testbed) restart(entry *process, i int) error {
	testbed.processMu.Lock()
	isEnding := testbed.isEnding
	var err error
	if !isEnding {
		err = entry.start()
	}
	testbed.processMu.Unlock()
	if err != nil {
		return err
	}
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get(fmt.Sprintf("http://%s:%d/ready", testbed.host(10+i), readinessPort))
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			testbed.logf("%s is ready", entry.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready in time", entry.name)
}

func (testbed *testbed) entryAddress(i int) string {
	return fmt.Sprintf("%s:%d", testbed.host(10+i), callersPort)
}

// send sends one request without a body on a connection of its own.
func (testbed *testbed) send(address, method, path, id string, deadline time.Duration) answer {
	return testbed.sendBody(address, method, path, id, deadline, nil, 0)
}

// sendBody sends one request on a connection of its own, and reads its whole answer.
func (testbed *testbed) sendBody(address, method, path, id string, deadline time.Duration, body io.Reader, bodyBytes int64) answer {
	result := answer{id: id, sentAt: time.Now()}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: deadline + time.Second}
	request, err := http.NewRequest(method, "http://"+address+path, body)
	if err != nil {
		result.err = err
		return result
	}
	request.ContentLength = bodyBytes
	request.Host = "desk.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("Authorization", "Bearer reviewkey")
	response, err := client.Do(request)
	if err != nil {
		result.err = err
		result.took = time.Since(result.sentAt)
		return result
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	result.took = time.Since(result.sentAt)
	if err != nil {
		result.err = err
		return result
	}
	result.status, result.body, result.leaves = response.StatusCode, strings.TrimSpace(string(text)), response.Header.Get("Server-Leaving") != ""
	return result
}

package config

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"firford/cmd/bench/usage"
	"firford/lib/hosts"
	"firford/lib/links"
)

const (
	changeTimeout = 20 * time.Second
	// readyTimeout limits the wait until all processes accept links.
	readyTimeout = 60 * time.Second
	// settleTime is the wait before the first measurement and after the last change.
	// It is longer than any change may take to come into force.
	settleTime = 8 * time.Second
	// idleTime is how long the cost without any change is measured.
	idleTime  = 20 * time.Second
	pauseTime = 3 * time.Second
	// On average, one process in processesPerPaused is paused at any time.
	processesPerPaused = 20

	outageInterval       = 20 * time.Second
	outageTime           = 4 * time.Second
	lostAnswerShare      = 0.1
	storeDelayMS         = 20
	organisationCount    = 10
	maxConcurrentChanges = 2
	maxChangeInterval    = 600 * time.Millisecond
)

type (
	// nodeProcess is one measured process, which config-node runs.
	nodeProcess struct {
		host    hosts.Host
		id      int
		options links.Options

		mutex  sync.Mutex
		link   *links.Link
		pauses []pauseInterval
	}

	// pauseInterval is a time during which a process was stopped.
	pauseInterval struct {
		from time.Time
		to   time.Time
	}

	// acceptedChange is a change whose acceptance was confirmed to the caller.
	acceptedChange struct {
		revision int64
		at       time.Time
	}

	// driver makes configuration changes and injects faults.
	driver struct {
		platform  string
		processes []*nodeProcess
		random    *rand.Rand
		refused   int
	}
)

// connect opens a link to every process of the run, and waits until each accepts it.
func connect(ctx context.Context, directory, key string) ([]*nodeProcess, error) {
	encoded, err := os.ReadFile(filepath.Join(directory, "hosts.json"))
	if err != nil {
		return nil, fmt.Errorf("read hosts: %w", err)
	}
	var hostList []hosts.Host
	if err := json.Unmarshal(encoded, &hostList); err != nil {
		return nil, fmt.Errorf("decode hosts: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	options := links.Options{Self: links.Identity{Name: "bench"}, Key: []byte(key), Router: links.NewRouter(), Logger: zap.NewNop()}
	var processes []*nodeProcess
	for _, host := range hostList {
		id, err := usage.ReadPIDFile(filepath.Join(directory, host.Name+".pid"))
		if err != nil {
			return nil, err
		}
		link, err := dialUntilReady(ctx, host.Address, options)
		if err != nil {
			return nil, err
		}
		processes = append(processes, &nodeProcess{host: host, id: id, options: options, link: link})
	}
	return processes, nil
}

// call sends a request to the process. It opens a new link first if the last one
// was closed, which happens while the process is paused.
func (process *nodeProcess) call(ctx context.Context, method string, params, result any) error {
	process.mutex.Lock()
	link := process.link
	process.mutex.Unlock()
	select {
	case <-link.Done():
		opened, err := links.Dial(ctx, process.host.Address, process.options)
		if err != nil {
			return err
		}
		process.mutex.Lock()
		process.link = opened
		process.mutex.Unlock()
		link = opened
	default:
	}
	return link.Call(ctx, method, params, result)
}

// dialUntilReady repeats the dial until it succeeds or the context ends.
func dialUntilReady(ctx context.Context, address string, options links.Options) (*links.Link, error) {
	for {
		link, err := links.Dial(ctx, address, options)
		if err == nil || ctx.Err() != nil {
			return link, err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// setFaults changes the faults that the fake platform injects.
func (driver *driver) setFaults(ctx context.Context, body map[string]any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+driver.platform+"/faults", bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("set faults: %w", err)
	}
	return response.Body.Close()
}

// runChanges makes the changes while faults are injected, unless quiet is set, and
// returns those that were accepted.
func (driver *driver) runChanges(ctx context.Context, changes int, quiet bool) ([]acceptedChange, error) {
	faultContext, stopFaults := context.WithCancel(ctx)
	var injectors sync.WaitGroup
	if !quiet {
		if err := driver.setFaults(ctx, map[string]any{"lose_answers": lostAnswerShare, "delay_ms": storeDelayMS, "seed": 7}); err != nil {
			stopFaults()
			return nil, err
		}
		injectors.Go(func() { driver.injectOutages(faultContext) })
		injectors.Go(func() { driver.injectPauses(faultContext) })
	}
	accepted := driver.makeChanges(ctx, changes)
	stopFaults()
	injectors.Wait()
	err := driver.setFaults(ctx, map[string]any{"outage": false, "lose_answers": 0, "delay_ms": 0})
	time.Sleep(settleTime)
	return accepted, err
}

// makeChanges sends changes to random processes at random intervals, up to
// maxConcurrentChanges at once, until the given number has been accepted.
func (driver *driver) makeChanges(ctx context.Context, count int) []acceptedChange {
	var mutex sync.Mutex
	var accepted []acceptedChange
	permits := make(chan struct{}, maxConcurrentChanges)
	var running sync.WaitGroup
	for number := 0; ctx.Err() == nil; number++ {
		mutex.Lock()
		isDone := len(accepted) >= count
		mutex.Unlock()
		if isDone {
			break
		}
		process := driver.processes[driver.random.IntN(len(driver.processes))]
		params := changeParams{
			ID: fmt.Sprintf("change-%d", number), Name: fmt.Sprintf("organisation-%s", strings.Repeat("x", 1+number%organisationCount)),
			Weight: float64(number + 1),
		}
		permits <- struct{}{}
		running.Go(func() {
			defer func() { <-permits }()
			var result changeResult
			err := process.call(ctx, methodChange, params, &result)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				driver.refused++
				return
			}
			accepted = append(accepted, acceptedChange{revision: result.Revision, at: result.At})
		})
		time.Sleep(rand.N(maxChangeInterval))
	}
	running.Wait()
	return accepted
}

// injectOutages makes the platform unavailable at regular intervals.
func (driver *driver) injectOutages(ctx context.Context) {
	for waitFor(ctx, outageInterval) {
		_ = driver.setFaults(context.Background(), map[string]any{"outage": true})
		waitFor(ctx, outageTime)
		_ = driver.setFaults(context.Background(), map[string]any{"outage": false})
	}
}

// injectPauses stops random processes of this measurement for pauseTime each. It
// signals them by the process ids of the run.
func (driver *driver) injectPauses(ctx context.Context) {
	var paused sync.WaitGroup
	random := rand.New(rand.NewPCG(7, 11))
	for waitFor(ctx, pauseTime*processesPerPaused/time.Duration(len(driver.processes))) {
		process := driver.processes[random.IntN(len(driver.processes))]
		paused.Go(func() { process.pause() })
	}
	paused.Wait()
}

// pause stops the process for pauseTime and records when.
func (process *nodeProcess) pause() {
	from := time.Now()
	if syscall.Kill(process.id, syscall.SIGSTOP) != nil {
		return
	}
	time.Sleep(pauseTime)
	_ = syscall.Kill(process.id, syscall.SIGCONT)
	process.mutex.Lock()
	defer process.mutex.Unlock()
	process.pauses = append(process.pauses, pauseInterval{from: from, to: time.Now()})
}

// wasPaused reports whether a pause overlaps the given time.
func (process *nodeProcess) wasPaused(from, to time.Time) bool {
	for _, interval := range process.pauses {
		if interval.from.Before(to) && interval.to.After(from) {
			return true
		}
	}
	return false
}

// waitFor waits for the duration and reports whether it passed before the context ended.
func waitFor(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// readUsages returns what each process has used since its start.
func (driver *driver) readUsages() ([]usage.Usage, error) {
	var all []usage.Usage
	for _, process := range driver.processes {
		used, err := usage.Read(process.id)
		if err != nil {
			return nil, err
		}
		all = append(all, used)
	}
	return all, nil
}

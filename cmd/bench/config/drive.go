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
	readyTimeout  = 60 * time.Second
	// settleTime passes after the last change, longer than any change may take.
	settleTime = 8 * time.Second
	// idleTime is how long the cost without any change is measured.
	idleTime  = 20 * time.Second
	pauseTime = 3 * time.Second
	// One process in pausedShare is paused at a time, on average.
	pausedShare = 20

	outageEvery    = 20 * time.Second
	outageTime     = 4 * time.Second
	lostAnswers    = 0.1
	storeDelayMS   = 20
	organisations  = 10
	changesAtOnce  = 2
	longestBetween = 600 * time.Millisecond
)

type (
	// member is one process of the measurement.
	member struct {
		host    hosts.Host
		id      int
		options links.Options

		mutex  sync.Mutex
		link   *links.Link
		pauses []pause
	}

	pause struct {
		from time.Time
		to   time.Time
	}

	// accepted is a change that an operator was told is accepted.
	accepted struct {
		revision int64
		at       time.Time
	}

	driver struct {
		platform string
		members  []*member
		random   *rand.Rand
		refused  int
	}
)

// connect opens a link to every process of the run and waits for each.
func connect(ctx context.Context, directory, key string) ([]*member, error) {
	encoded, err := os.ReadFile(filepath.Join(directory, "hosts.json"))
	if err != nil {
		return nil, fmt.Errorf("read hosts: %w", err)
	}
	var all []hosts.Host
	if err := json.Unmarshal(encoded, &all); err != nil {
		return nil, fmt.Errorf("decode hosts: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	options := links.Options{Self: links.Identity{Name: "bench"}, Key: []byte(key), Router: links.NewRouter(), Logger: zap.NewNop()}
	var members []*member
	for _, host := range all {
		id, err := usage.ReadPIDFile(filepath.Join(directory, host.Name+".pid"))
		if err != nil {
			return nil, err
		}
		link, err := dial(ctx, host.Address, options)
		if err != nil {
			return nil, err
		}
		members = append(members, &member{host: host, id: id, options: options, link: link})
	}
	return members, nil
}

// call opens a new link if the last one has ended, as it does while the process
// is paused.
func (target *member) call(ctx context.Context, method string, params, result any) error {
	target.mutex.Lock()
	link := target.link
	target.mutex.Unlock()
	select {
	case <-link.Done():
		opened, err := links.Dial(ctx, target.host.Address, target.options)
		if err != nil {
			return err
		}
		target.mutex.Lock()
		target.link = opened
		target.mutex.Unlock()
		link = opened
	default:
	}
	return link.Call(ctx, method, params, result)
}

func dial(ctx context.Context, address string, options links.Options) (*links.Link, error) {
	for {
		link, err := links.Dial(ctx, address, options)
		if err == nil || ctx.Err() != nil {
			return link, err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (driver *driver) faults(ctx context.Context, body map[string]any) error {
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

// run makes the changes under faults and returns those that were accepted.
func (driver *driver) run(ctx context.Context, changes int, quiet bool) ([]accepted, error) {
	faulty, stop := context.WithCancel(ctx)
	var injecting sync.WaitGroup
	if !quiet {
		if err := driver.faults(ctx, map[string]any{"lose_answers": lostAnswers, "delay_ms": storeDelayMS, "seed": 7}); err != nil {
			stop()
			return nil, err
		}
		injecting.Go(func() { driver.outages(faulty) })
		injecting.Go(func() { driver.pauses(faulty) })
	}
	made := driver.changes(ctx, changes)
	stop()
	injecting.Wait()
	err := driver.faults(ctx, map[string]any{"outage": false, "lose_answers": 0, "delay_ms": 0})
	time.Sleep(settleTime)
	return made, err
}

// changes makes changes at random processes, at random times, some of them at
// the same time.
func (driver *driver) changes(ctx context.Context, count int) []accepted {
	var mutex sync.Mutex
	var made []accepted
	free := make(chan struct{}, changesAtOnce)
	var running sync.WaitGroup
	for number := 0; ctx.Err() == nil; number++ {
		mutex.Lock()
		enough := len(made) >= count
		mutex.Unlock()
		if enough {
			break
		}
		at := driver.members[driver.random.IntN(len(driver.members))]
		params := changeParams{
			ID: fmt.Sprintf("change-%d", number), Name: fmt.Sprintf("organisation-%s", strings.Repeat("x", 1+number%organisations)),
			Weight: float64(number + 1),
		}
		free <- struct{}{}
		running.Go(func() {
			defer func() { <-free }()
			var result changeResult
			err := at.call(ctx, methodChange, params, &result)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				driver.refused++
				return
			}
			made = append(made, accepted{revision: result.Revision, at: result.At})
		})
		time.Sleep(rand.N(longestBetween))
	}
	running.Wait()
	return made
}

func (driver *driver) outages(ctx context.Context) {
	for wait(ctx, outageEvery) {
		_ = driver.faults(context.Background(), map[string]any{"outage": true})
		wait(ctx, outageTime)
		_ = driver.faults(context.Background(), map[string]any{"outage": false})
	}
}

// pauses stops random processes for a while. They are processes of this
// measurement, named by their ids.
func (driver *driver) pauses(ctx context.Context) {
	var paused sync.WaitGroup
	random := rand.New(rand.NewPCG(7, 11))
	for wait(ctx, pauseTime*pausedShare/time.Duration(len(driver.members))) {
		target := driver.members[random.IntN(len(driver.members))]
		paused.Go(func() { target.pause() })
	}
	paused.Wait()
}

func (target *member) pause() {
	from := time.Now()
	if syscall.Kill(target.id, syscall.SIGSTOP) != nil {
		return
	}
	time.Sleep(pauseTime)
	_ = syscall.Kill(target.id, syscall.SIGCONT)
	target.mutex.Lock()
	defer target.mutex.Unlock()
	target.pauses = append(target.pauses, pause{from: from, to: time.Now()})
}

func (target *member) wasPaused(from, to time.Time) bool {
	for _, each := range target.pauses {
		if each.from.Before(to) && each.to.After(from) {
			return true
		}
	}
	return false
}

// wait reports whether the span passed before the context ended.
func wait(ctx context.Context, span time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(span):
		return true
	}
}

// usages returns what each process has used so far.
func (driver *driver) usages() ([]usage.Usage, error) {
	var all []usage.Usage
	for _, each := range driver.members {
		used, err := usage.Read(each.id)
		if err != nil {
			return nil, err
		}
		all = append(all, used)
	}
	return all, nil
}

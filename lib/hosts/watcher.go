package hosts

// This file keeps the platform's list of hosts. The list is polled at a rate
// that is bounded for all processes together and by the list's size. During an
// outage the last list stays: a process that dropped its hosts whenever the list
// can't be read would turn the platform's outage into its own.

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// sharedListRate is how many reads of the list a second all processes make
	// together; the platform allows 2,000 reads of all kinds.
	sharedListRate = 600
	// listBytesPerSecond bounds what one process reads of the list. It leaves
	// most of the 17 KB/s of a process's control traffic for everything else;
	// departures don't wait for the list, because hints spread them.
	listBytesPerSecond = 5_000
	minimumListPause   = time.Second
	maximumListPause   = time.Minute
	listTimeout        = 5 * time.Second
)

type (
	// Lister reads the platform's list.
	Lister interface {
		List(ctx context.Context) ([]Host, error)
	}

	// Watcher holds the newest list, and the hints of other processes that a host
	// is leaving. It is safe for concurrent use.
	Watcher struct {
		lister  Lister
		logger  *zap.Logger
		refresh chan struct{}

		mutex   sync.Mutex
		listed  []Host
		hints   map[string]time.Time // Deadlines by host name.
		all     []Host               // The list with the hints applied.
		bytes   int
		changed chan struct{}
	}
)

// NewWatcher returns a watcher with an empty list.
func NewWatcher(lister Lister, logger *zap.Logger) *Watcher {
	return &Watcher{
		lister: lister, logger: logger, refresh: make(chan struct{}, 1),
		hints: map[string]time.Time{}, changed: make(chan struct{}),
	}
}

// Current returns the hosts ordered by name. Don't change the slice.
func (watcher *Watcher) Current() []Host {
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	return watcher.all
}

// Changed returns the hosts, and a channel that is closed when the list or a
// hint changes.
func (watcher *Watcher) Changed() ([]Host, <-chan struct{}) {
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	return watcher.all, watcher.changed
}

// Run polls until the context ends.
func (watcher *Watcher) Run(ctx context.Context) {
	for {
		watcher.poll(ctx)
		pause := watcher.pause()
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause*4/5 + rand.N(pause*2/5)):
		case <-watcher.refresh:
		}
	}
}

func (watcher *Watcher) pause() time.Duration {
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	byRate := time.Second * time.Duration(len(watcher.all)) / sharedListRate
	bySize := time.Second * time.Duration(watcher.bytes) / listBytesPerSecond
	return min(max(minimumListPause, byRate, bySize), maximumListPause)
}

func (watcher *Watcher) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := watcher.lister.List(ctx)
	if err != nil {
		watcher.logger.Debug("list of hosts not read", zap.Error(err))
		return
	}
	watcher.take(list)
}

// take keeps the list unless it is the same. An empty list is ignored: the
// reader itself is a host, so it can't be true.
func (watcher *Watcher) take(list []Host) {
	if len(list) == 0 {
		return
	}
	list = slices.SortedFunc(slices.Values(list), func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	encoded, err := json.Marshal(list)
	if err != nil {
		return
	}
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	watcher.bytes = len(encoded)
	listedChanged := !slices.Equal(watcher.listed, list)
	watcher.listed = list
	watcher.publish(time.Now(), listedChanged)
}

// publish replaces the list that others see, and wakes them if it or the
// platform's list has changed: a confirmed hint changes only the latter. The
// caller holds the lock.
func (watcher *Watcher) publish(now time.Time, listedChanged bool) {
	effective := watcher.applyHints(now)
	if !listedChanged && slices.Equal(watcher.all, effective) {
		return
	}
	watcher.all = effective
	close(watcher.changed)
	watcher.changed = make(chan struct{})
	watcher.logger.Info("list of hosts changed", zap.Int("hosts", len(effective)))
}

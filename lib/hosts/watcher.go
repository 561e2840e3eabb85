package hosts

// This file polls the platform's list of hosts. The poll interval grows with the
// number of hosts and with the size of the list, which limits both the reads at
// the platform and the control traffic of each process. During an outage the
// last list stays in use: a process that dropped its hosts whenever the list
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
	// totalListReadsPerSecond limits the reads of the list by all processes
	// together; the platform allows 2,000 reads of all kinds per second.
	totalListReadsPerSecond = 600
	// listBytesPerSecond limits what one process reads of the list. It leaves most
	// of the 17 KB/s of a process's control traffic to other messages. Polling
	// slowly doesn't delay the news of leaving hosts, because hints spread it.
	listBytesPerSecond = 5_000
	minPollInterval    = time.Second
	maxPollInterval    = time.Minute
	listTimeout        = 5 * time.Second
)

type (
	// Lister reads the platform's list of hosts.
	Lister interface {
		List(ctx context.Context) ([]Host, error)
	}

	// Watcher holds the last list that was read and the hints of other processes
	// that a host is leaving. It is safe for concurrent use.
	Watcher struct {
		lister  Lister
		logger  *zap.Logger
		refresh chan struct{}

		mutex     sync.Mutex
		listed    []Host
		hints     map[string]time.Time // Expiry time by host name.
		effective []Host               // The list with the hints applied, ordered by name.
		listBytes int
		changed   chan struct{}
	}
)

// NewWatcher returns a watcher with an empty list.
func NewWatcher(lister Lister, logger *zap.Logger) *Watcher {
	return &Watcher{
		lister: lister, logger: logger, refresh: make(chan struct{}, 1),
		hints: map[string]time.Time{}, changed: make(chan struct{}),
	}
}

// Current returns the hosts ordered by name. Callers must not modify the slice.
func (watcher *Watcher) Current() []Host {
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	return watcher.effective
}

// Changed returns the hosts and a channel that is closed at the next change of
// the list or of a hint. Callers must not modify the slice.
func (watcher *Watcher) Changed() ([]Host, <-chan struct{}) {
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	return watcher.effective, watcher.changed
}

// Run polls the list until the context ends.
func (watcher *Watcher) Run(ctx context.Context) {
	for {
		watcher.poll(ctx)
		interval := watcher.pollInterval()
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval*4/5 + rand.N(interval*2/5)):
		case <-watcher.refresh:
		}
	}
}

func (watcher *Watcher) pollInterval() time.Duration {
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	byRate := time.Second * time.Duration(len(watcher.effective)) / totalListReadsPerSecond
	bySize := time.Second * time.Duration(watcher.listBytes) / listBytesPerSecond
	return min(max(minPollInterval, byRate, bySize), maxPollInterval)
}

func (watcher *Watcher) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := watcher.lister.List(ctx)
	if err != nil {
		watcher.logger.Debug("failed to read the list of hosts", zap.Error(err))
		return
	}
	watcher.update(list)
}

// update stores the list and notifies readers if it has changed. An empty list
// is ignored: it can't be correct, because the reader is itself a host.
func (watcher *Watcher) update(list []Host) {
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
	watcher.listBytes = len(encoded)
	listedChanged := !slices.Equal(watcher.listed, list)
	watcher.listed = list
	watcher.publish(time.Now(), listedChanged)
}

// publish applies the hints and notifies readers if the result or the
// platform's list has changed: when the list confirms a hint, only the latter
// changes. The caller holds the lock.
func (watcher *Watcher) publish(now time.Time, listedChanged bool) {
	effective := watcher.applyHints(now)
	if !listedChanged && slices.Equal(watcher.effective, effective) {
		return
	}
	watcher.effective = effective
	close(watcher.changed)
	watcher.changed = make(chan struct{})
	watcher.logger.Info("list of hosts changed", zap.Int("hosts", len(effective)))
}

package links

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"firford/lib/hosts"
)

const (
	reconnectPause    = 200 * time.Millisecond
	maxReconnectPause = 3 * time.Second
)

type (
	// Pool keeps one link to each host of a wanted set and replaces those that
	// end. It is safe for concurrent use.
	Pool struct {
		options Options
		ctx     context.Context
		onOpen  func(host hosts.Host, link *Link)

		mutex sync.Mutex
		kept  map[string]*keeper
	}

	keeper struct {
		host   hosts.Host
		cancel context.CancelFunc
		link   *Link
	}
)

// NewPool returns an empty pool whose links end with the context. onOpen, which
// may be nil, is told of each new link.
func NewPool(ctx context.Context, options Options, onOpen func(host hosts.Host, link *Link)) *Pool {
	return &Pool{options: options, ctx: ctx, onOpen: onOpen, kept: map[string]*keeper{}}
}

// SetHosts makes the wanted hosts the ones that the pool stays connected to.
func (pool *Pool) SetHosts(wanted []hosts.Host) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	names := map[string]bool{}
	for _, host := range wanted {
		names[host.Name] = true
		existing, known := pool.kept[host.Name]
		if known && existing.host.Address == host.Address {
			continue
		}
		if known {
			existing.cancel()
		}
		ctx, cancel := context.WithCancel(pool.ctx)
		kept := &keeper{host: host, cancel: cancel}
		pool.kept[host.Name] = kept
		go pool.maintain(ctx, kept)
	}
	for name, kept := range pool.kept {
		if !names[name] {
			kept.cancel()
			delete(pool.kept, name)
		}
	}
}

// Get returns the open link to the host, or nil.
func (pool *Pool) Get(name string) *Link {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if kept, known := pool.kept[name]; known {
		return kept.link
	}
	return nil
}

// OpenLinks returns all open links by host name.
func (pool *Pool) OpenLinks() map[string]*Link {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	open := map[string]*Link{}
	for name, kept := range pool.kept {
		if kept.link != nil {
			open[name] = kept.link
		}
	}
	return open
}

// maintain keeps one link open. Pauses grow and are jittered, so that hosts
// that lost a peer together do not return together.
func (pool *Pool) maintain(ctx context.Context, kept *keeper) {
	pause := reconnectPause
	for ctx.Err() == nil {
		link, err := Dial(ctx, kept.host.Address, pool.options)
		if err == nil {
			pause = reconnectPause
			pool.hold(ctx, kept, link)
		} else {
			pool.options.Logger.Debug("link not opened", zap.String("peer", kept.host.Name), zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = min(pause*2, maxReconnectPause)
	}
}

// hold publishes the link until it ends or is no longer wanted.
func (pool *Pool) hold(ctx context.Context, kept *keeper, link *Link) {
	pool.set(kept, link)
	if pool.onOpen != nil {
		pool.onOpen(kept.host, link)
	}
	select {
	case <-link.Done():
	case <-ctx.Done():
	}
	pool.set(kept, nil)
	link.Close()
}

func (pool *Pool) set(kept *keeper, link *Link) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	kept.link = link
}

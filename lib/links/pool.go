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
	minReconnectBackoff = 200 * time.Millisecond
	maxReconnectBackoff = 3 * time.Second
)

type (
	// Pool keeps one link open to each host of a set and reopens links that end.
	// It is safe for concurrent use.
	Pool struct {
		options Options
		ctx     context.Context
		onOpen  func(host hosts.Host, link *Link)

		mutex   sync.Mutex
		targets map[string]*poolTarget
	}

	poolTarget struct {
		host   hosts.Host
		cancel context.CancelFunc
		link   *Link
	}
)

// NewPool returns an empty pool whose links end with the context. onOpen is
// called for each new link; it may be nil.
func NewPool(ctx context.Context, options Options, onOpen func(host hosts.Host, link *Link)) *Pool {
	return &Pool{options: options, ctx: ctx, onOpen: onOpen, targets: map[string]*poolTarget{}}
}

// SetHosts replaces the set of hosts that the pool keeps links to. Links to
// other hosts are closed.
func (pool *Pool) SetHosts(wanted []hosts.Host) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	names := map[string]bool{}
	for _, host := range wanted {
		names[host.Name] = true
		existing, known := pool.targets[host.Name]
		if known && existing.host.Address == host.Address {
			continue
		}
		if known {
			existing.cancel()
		}
		ctx, cancel := context.WithCancel(pool.ctx)
		target := &poolTarget{host: host, cancel: cancel}
		pool.targets[host.Name] = target
		go pool.maintainLink(ctx, target)
	}
	for name, target := range pool.targets {
		if !names[name] {
			target.cancel()
			delete(pool.targets, name)
		}
	}
}

// Get returns the open link to the host, or nil.
func (pool *Pool) Get(name string) *Link {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if target, known := pool.targets[name]; known {
		return target.link
	}
	return nil
}

// OpenLinks returns all open links by host name.
func (pool *Pool) OpenLinks() map[string]*Link {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	open := map[string]*Link{}
	for name, target := range pool.targets {
		if target.link != nil {
			open[name] = target.link
		}
	}
	return open
}

// maintainLink keeps a link to one host open. It waits between attempts with an
// exponential backoff and jitter, so that hosts that lost a peer at the same
// time don't all reconnect to it at the same time.
func (pool *Pool) maintainLink(ctx context.Context, target *poolTarget) {
	backoff := minReconnectBackoff
	for ctx.Err() == nil {
		link, err := Dial(ctx, target.host.Address, pool.options)
		if err == nil {
			backoff = minReconnectBackoff
			pool.publishLink(ctx, target, link)
		} else {
			pool.options.Logger.Debug("failed to open link", zap.String("peer", target.host.Name), zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(backoff*2, maxReconnectBackoff)
	}
}

// publishLink makes the link available until it ends or is no longer wanted.
func (pool *Pool) publishLink(ctx context.Context, target *poolTarget, link *Link) {
	pool.setLink(target, link)
	if pool.onOpen != nil {
		pool.onOpen(target.host, link)
	}
	select {
	case <-link.Done():
	case <-ctx.Done():
	}
	pool.setLink(target, nil)
	link.Close()
}

func (pool *Pool) setLink(target *poolTarget, link *Link) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	target.link = link
}

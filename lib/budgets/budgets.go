// Package budgets bounds what callers make a process hold: connections, the heads and the
// bodies of requests, and answers that their callers have not read yet.
//
// The limits of a single request don't bound the process. A few hundred callers that each
// send a body of legal length and stop just short of its end take more memory than a small
// host has. So all that is held for callers counts toward one budget, before it is taken and
// until it is given back.
//
// The budget has two pools, so that callers who hold much can't keep out those who hold
// little. Connections and the first SmallBytes that each holds beyond them come from one
// pool, all beyond that from the other, of which requests may take only a part: a request
// that has run must still get its answer. When a pool is exhausted, the account is evicted
// that holds most of it and moves least. A request that is being served is never evicted.
//
// golang.org/x/net/netutil.LimitListener was not used: it makes new callers wait behind
// those that don't move, and knows nothing of memory.
package budgets

import (
	"cmp"
	"errors"
	"math"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"
)

const (
	// ConnectionBytes is what a connection takes that has no request: goroutine and buffers.
	ConnectionBytes = 16 << 10
	// SmallBytes is how much each account may hold in the pool of the small, far more than
	// the usual request or answer takes.
	SmallBytes = 32 << 10
	// UnreadBytes is how many bytes of a connection the kernel may keep until they are read.
	UnreadBytes = 32 << 10
	// unreadShare is the share of the memory limit that these bytes may take besides: the
	// quarter of the host's memory that lib/memory leaves to the kernel.
	unreadShare = 1.0 / 3
	// poolShare is the share of the memory limit that each of the pools has. The other half
	// of the memory is for the process itself, for garbage, and for buffers on the way.
	poolShare = 0.25
	// requestShare is the part of the pool of the large that requests may take.
	requestShare = 0.5
	// defaultMemory is assumed when the runtime has no memory limit, in bytes.
	defaultMemory = 512 << 20
	// reservedDescriptors are for files, connectionShare of the others for callers: each
	// request may need one more for a connection to a server.
	reservedDescriptors = 200
	connectionShare     = 0.625
	minConnections      = 16
	maxConnections      = 1 << 16
	// leavingShare is how much evicted accounts may still hold, as a share of the pools.
	leavingShare = 0.125
	// evictionBatch is the part of all connections, as a divisor, of which the worst are
	// evicted at once, and lookPause how long nobody looks for one after there was none.
	evictionBatch = 64
	lookPause     = 5 * time.Millisecond
	// refusingTime is for how long no connection must have been admitted before callers should
	// go elsewhere.
	refusingTime = time.Second
	logInterval  = time.Second
	// RetryAfter is the delay after which callers should retry that were refused since callers
	// hold too much. It exceeds the time after which one that does not move makes room.
	RetryAfter = time.Second
)

// Kinds of what an account holds.
const (
	// Requests are heads and bodies.
	Requests Kind = iota
	// Answers are answers that the caller has not read yet.
	Answers
)

var (
	// ErrExhausted means that the budget does not suffice.
	ErrExhausted = errors.New("callers hold too much")
	// ErrEvicted means that the account had to make room for others.
	ErrEvicted = errors.New("evicted since callers hold too much")
)

type (
	// Kind tells what bytes are held for.
	Kind int

	// Limits bound what all callers hold together: connections, and the bytes of the two
	// pools. LargeRequestBytes is the part of LargeBytes that requests may take.
	Limits struct {
		Connections                               int
		SmallBytes, LargeBytes, LargeRequestBytes int64
	}

	// Usage is what all callers hold together of what Limits bounds. It is an immutable value.
	Usage Limits

	// Budget counts what callers hold. It is safe for concurrent use.
	Budget struct {
		limits   Limits
		logger   *zap.Logger
		logLimit rate.Sometimes
		metrics  metrics

		mutex    sync.Mutex
		used     Usage
		leaving  Usage
		accounts map[*Account]struct{}
		// refusedAt and admittedAt are when the last connection was refused or admitted, nil if
		// none was.
		refusedAt, admittedAt atomic.Pointer[time.Time]
		// nextLookAt is when to look for a connection to evict again, after there was none.
		nextLookAt time.Time
	}

	// candidate is an account that may be evicted, and what it costs to keep.
	candidate struct {
		account *Account
		cost    float64
	}

	metrics struct {
		connections, smallBytes, largeBytes         tally.Gauge
		refusedConnections, refusedBytes, evictions tally.Counter
	}
)

// HostLimits returns the limits that suit the process: by the memory limit of the Go runtime
// and the limit of descriptors.
func HostLimits() Limits {
	memory := debug.SetMemoryLimit(-1)
	if memory == math.MaxInt64 {
		memory = defaultMemory
	}
	pool := int64(poolShare * float64(memory))
	byMemory := int(unreadShare * float64(memory) / UnreadBytes)
	limits := Limits{Connections: min(byMemory, maxConnections), SmallBytes: pool, LargeBytes: pool, LargeRequestBytes: int64(requestShare * float64(pool))}
	var descriptors unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &descriptors); err == nil && descriptors.Cur < maxConnections {
		free := max(0, float64(descriptors.Cur)-reservedDescriptors)
		limits.Connections = min(limits.Connections, max(minConnections, int(connectionShare*free)))
	}
	return limits
}

// New returns a budget of which nothing is held.
func New(limits Limits, logger *zap.Logger, scope tally.Scope) *Budget {
	return &Budget{
		limits: limits, logger: logger, logLimit: rate.Sometimes{Interval: logInterval}, accounts: map[*Account]struct{}{},
		metrics: metrics{
			connections: scope.Gauge("caller_connections"), smallBytes: scope.Gauge("caller_small_bytes"), largeBytes: scope.Gauge("caller_large_bytes"),
			refusedConnections: scope.Counter("caller_connections_refused"), refusedBytes: scope.Counter("caller_bytes_refused"), evictions: scope.Counter("caller_evictions"),
		},
	}
}

// Open returns the account of a new connection, or ErrExhausted. The budget calls evict at
// most once, from any goroutine, when the account is to make room for others. It is told the
// phase of the account, must not block, and must lead to Close. HasUnread reports whether bytes
// of the caller have come that were not read.
func (budget *Budget) Open(evict func(Phase), hasUnread func() bool) (*Account, error) {
	now := time.Now()
	account := &Account{budget: budget, evict: evict, hasUnread: hasUnread, state: newState(now)}
	if err := budget.change(now, account, holding.opened); err != nil {
		budget.metrics.refusedConnections.Inc(1)
		budget.refusedAt.Store(&now)
		return nil, err
	}
	budget.admittedAt.Store(&now)
	return account, nil
}

// TakesNone reports whether connections were refused of late and none was admitted, so that
// callers should go elsewhere.
func (budget *Budget) TakesNone(now time.Time) bool {
	refusedAt, admittedAt := budget.refusedAt.Load(), budget.admittedAt.Load()
	return refusedAt != nil && now.Sub(*refusedAt) < refusingTime && (admittedAt == nil || now.Sub(*admittedAt) > refusingTime)
}

// Used returns what is held now.
func (budget *Budget) Used() Usage {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.used.plus(budget.leaving, 1)
}

// change lets an account hold more than before. If that does not fit into the budget, it
// evicts accounts that hold more and move less.
func (budget *Budget) change(now time.Time, account *Account, next func(holding) holding) error {
	victims, err := budget.changeLocked(now, account, next)
	for _, victim := range victims {
		victim.account.evict(victim.phase)
	}
	if len(victims) > 0 || err != nil {
		budget.report(len(victims), err)
	}
	return err
}

func (budget *Budget) changeLocked(now time.Time, account *Account, next func(holding) holding) ([]victim, error) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if account.isEvicted {
		return nil, ErrEvicted
	}
	after := next(account.holding)
	more := after.usage().plus(account.holding.usage(), -1)
	var victims []victim
	for lacking := budget.lack(more); lacking != lackNone; lacking = budget.lack(more) {
		worst := budget.worst(now, account, lacking)
		if len(worst) == 0 {
			return victims, ErrExhausted
		}
		for _, each := range worst {
			victims = append(victims, victim{account: each, phase: each.state.phase})
			budget.beginEviction(each)
		}
	}
	budget.settle(account, more)
	account.holding = after
	return victims, nil
}

// settle counts what an account holds more, or less, than before.
func (budget *Budget) settle(account *Account, more Usage) {
	if account.isEvicted {
		budget.leaving = budget.leaving.plus(more, 1)
	} else {
		budget.used = budget.used.plus(more, 1)
	}
	if more.Connections > 0 {
		budget.accounts[account] = struct{}{}
	}
	if more.Connections < 0 {
		delete(budget.accounts, account)
	}
	budget.metrics.update(budget.used)
}

// beginEviction counts what the account holds as leaving.
func (budget *Budget) beginEviction(account *Account) {
	account.isEvicted = true
	delete(budget.accounts, account)
	held := account.holding.usage()
	budget.used = budget.used.plus(held, -1)
	budget.leaving = budget.leaving.plus(held, 1)
}

// lack returns what does not suffice for more to be held.
func (budget *Budget) lack(more Usage) lack {
	used := budget.used.plus(more, 1)
	switch {
	case more.Connections > 0 && used.Connections > budget.limits.Connections:
		return lackConnections
	case more.SmallBytes > 0 && used.SmallBytes > budget.limits.SmallBytes:
		return lackSmall
	case more.LargeRequestBytes > 0 && used.LargeRequestBytes > budget.limits.LargeRequestBytes:
		return lackLargeRequests
	case more.LargeBytes > 0 && used.LargeBytes > budget.limits.LargeBytes:
		return lackLarge
	default:
		return lackNone
	}
}

// worst returns the accounts to evict in favour of another one, none if there are none. While
// connections lack these are several, so that a crowd that connects quickly does not make the
// process look through all accounts for each connection.
func (budget *Budget) worst(now time.Time, favoured *Account, lacking lack) []*Account {
	if budget.isLeavingMuch() || lacking.isOfSmall() && now.Before(budget.nextLookAt) {
		return nil
	}
	lowest := favoured.state.cost(now, favoured.holding.of(lacking))
	var candidates []candidate
	for account := range budget.accounts {
		if account == favoured || !account.state.isEvictable(now, lacking) {
			continue
		}
		if cost := account.state.cost(now, account.holding.of(lacking)); cost > lowest {
			candidates = append(candidates, candidate{account: account, cost: cost})
		}
	}
	if !lacking.isOfSmall() {
		return dearest(candidates, 1)
	}
	worst := dearest(candidates, 1+len(budget.accounts)/evictionBatch)
	if len(worst) == 0 {
		budget.nextLookAt = now.Add(lookPause)
	}
	return worst
}

// dearest returns the accounts that cost most, at most so many. On a busy host, what a caller
// has sent may not have been read yet. It has moved then, and stays.
func dearest(candidates []candidate, count int) []*Account {
	slices.SortFunc(candidates, func(left, right candidate) int { return cmp.Compare(right.cost, left.cost) })
	var accounts []*Account
	for _, each := range candidates {
		if len(accounts) == count {
			break
		}
		if each.account.state.phase == Sending || !each.account.hasUnread() {
			accounts = append(accounts, each.account)
		}
	}
	return accounts
}

// isLeavingMuch reports whether evicted accounts hold so much still that no other should be
// evicted before them.
func (budget *Budget) isLeavingMuch() bool {
	leaving, limits := budget.leaving, budget.limits
	bytes := float64(leaving.SmallBytes + leaving.LargeBytes)
	return bytes > leavingShare*float64(limits.SmallBytes+limits.LargeBytes) ||
		float64(leaving.Connections) > leavingShare*float64(limits.Connections)
}

// report counts evictions, and logs that the budget did not suffice.
func (budget *Budget) report(evicted int, err error) {
	budget.metrics.evictions.Inc(int64(evicted))
	budget.logLimit.Do(func() {
		used := budget.Used()
		budget.logger.Warn("callers hold too much", zap.Int("connections", used.Connections), zap.Int64("small_bytes", used.SmallBytes),
			zap.Int64("large_bytes", used.LargeBytes), zap.Int("evicted", evicted), zap.Error(err))
	})
}

func (gauges metrics) update(used Usage) {
	gauges.connections.Update(float64(used.Connections))
	gauges.smallBytes.Update(float64(used.SmallBytes))
	gauges.largeBytes.Update(float64(used.LargeBytes))
}

// plus returns the usage with another one added as often as the factor says.
func (usage Usage) plus(other Usage, factor int) Usage {
	usage.Connections += factor * other.Connections
	usage.SmallBytes += int64(factor) * other.SmallBytes
	usage.LargeBytes += int64(factor) * other.LargeBytes
	usage.LargeRequestBytes += int64(factor) * other.LargeRequestBytes
	return usage
}

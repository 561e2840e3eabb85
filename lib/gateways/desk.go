package gateways

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"firford/lib/placements"
)

const (
	// engineAllowance is how many requests beyond its slots an engine is given, so
	// that a slot that becomes free is taken at once.
	engineAllowance = 1
	// serviceAllowance is the same for a plain service.
	serviceAllowance = 0
	// leastRetryAfter keeps callers from coming back before anything has changed.
	leastRetryAfter = 700 * time.Millisecond
	// retrySpread is the part of that time over which callers come back.
	retrySpread = 1.0
)

type (
	// Desk places requests at backend servers. Requests without a place wait in
	// the line of their service. It is safe for concurrent use.
	Desk struct {
		mutex   sync.Mutex
		fleet   *placements.Fleet
		lines   map[string]placements.Line
		paces   map[string]placements.Pace
		retries map[string]placements.Retries
		granted map[uint64]chan *place
		number  uint64
		notify  func(Notice)
	}

	// place is a request's place at a server. It is used by one goroutine.
	place struct {
		server   placements.Server
		number   uint64
		tokens   int
		answered bool
		// predicted is how long the first event should take, zero if not known.
		predicted time.Duration
	}

	// Notice tells the agent beside a server of a request of this entry: that it
	// was sent, with its prompt tokens, or that it needs no reading any more.
	Notice struct {
		Server   placements.Server
		Number   uint64
		Tokens   int
		Answered bool
	}

	// refusal tells why a request got no place and after which time it should come
	// back. Ahead is how many waited before it, wait how long its turn would have
	// taken, and outlook what kept it from the servers.
	refusal struct {
		reason  reason
		after   time.Duration
		ahead   int
		wait    time.Duration
		outlook placements.Outlook
	}
)

func (refusal *refusal) Error() string {
	return fmt.Sprintf("%s, come back in %s", refusal.reason, refusal.after)
}

// NewDesk returns a desk that places at the fleet and tells notify of requests to
// engines. Notify must not block.
func NewDesk(fleet *placements.Fleet, notify func(Notice)) *Desk {
	return &Desk{
		notify:  notify,
		fleet:   fleet,
		lines:   map[string]placements.Line{},
		paces:   map[string]placements.Pace{},
		retries: map[string]placements.Retries{},
		granted: map[uint64]chan *place{},
	}
}

// Change lets a function change the fleet and then places those that wait.
func (desk *Desk) Change(change func(fleet *placements.Fleet, now time.Time)) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	now := time.Now()
	change(desk.fleet, now)
	for service := range desk.lines {
		desk.dispatch(service, now)
	}
}

// patience returns how long a request may wait for a place and still meet its
// target.
func (desk *Desk) patience(service string, target time.Duration) time.Duration {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	return desk.fleet.Patience(service, target)
}

// take returns a place at a server with room for the request, waiting for one
// until the waiter has to start. The error is a *refusal unless the context ended
// first. Each place has to be given back with end.
func (desk *Desk) take(ctx context.Context, waiter placements.Waiter) (*place, error) {
	taken, grant, number, err := desk.ask(waiter)
	if err != nil || taken != nil {
		return taken, err
	}
	timer := time.NewTimer(time.Until(waiter.StartBy))
	defer timer.Stop()
	select {
	case taken := <-grant:
		return taken, nil
	case <-timer.C:
		err = desk.refuse(waiter, reasonNoPlaceInTime)
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	if taken := desk.leave(waiter.Need.Service, number, grant); taken != nil {
		if ctx.Err() == nil {
			return taken, nil
		}
		desk.end(taken, placements.Abandoned)
	}
	return nil, err
}

// ask places the request at once, refuses it or puts it into the line.
func (desk *Desk) ask(waiter placements.Waiter) (*place, chan *place, uint64, error) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	now := time.Now()
	service := waiter.Need.Service
	ahead := desk.lines[service].Ahead(waiter)
	if ahead == 0 {
		if taken := desk.start(waiter.Need, now); taken != nil {
			return taken, nil, 0, nil
		}
	}
	wait := desk.paces[service].Until(ahead, now)
	if now.Add(wait).After(waiter.StartBy) {
		return nil, nil, 0, desk.refusal(waiter, ahead, wait, reasonTooManyWait, now)
	}
	desk.number++
	waiter.Number = desk.number
	grant := make(chan *place, 1)
	desk.granted[waiter.Number] = grant
	desk.lines[service] = desk.lines[service].With(waiter)
	return nil, grant, waiter.Number, nil
}

// refusal tells when there should be room: after the present wait, or when an
// overload of a few seconds has passed. The times are spread, so that callers
// that were refused together do not come back together.
func (desk *Desk) refusal(waiter placements.Waiter, ahead int, wait time.Duration, reason reason, now time.Time) error {
	after := max(leastRetryAfter, wait)
	return &refusal{
		reason: reason, after: after + time.Duration(rand.Float64()*retrySpread*float64(after)), ahead: ahead, wait: wait,
		outlook: desk.fleet.Outlook(waiter.Need, allowance(waiter.Need), now),
	}
}

// refuse refuses a request that has waited.
func (desk *Desk) refuse(waiter placements.Waiter, reason reason) error {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	now := time.Now()
	service := waiter.Need.Service
	waiting := len(desk.lines[service].Waiters())
	return desk.refusal(waiter, waiting, desk.paces[service].Until(waiting, now), reason, now)
}

// allowance returns how many requests beyond its slots a server is given.
func allowance(need placements.Need) int {
	if need.Model != "" {
		return engineAllowance
	}
	return serviceAllowance
}

func (desk *Desk) start(need placements.Need, now time.Time) *place {
	choice, found := desk.fleet.Choose(need, allowance(need), now, rand.Float64)
	if !found {
		return nil
	}
	server := choice.Server
	desk.number++
	taken := &place{server: server, number: desk.number, tokens: need.Tokens, predicted: choice.First}
	desk.fleet.Start(server.ID, need.Tokens)
	desk.paces[need.Service] = desk.paces[need.Service].WithStart(now)
	if taken.tokens > 0 {
		desk.notify(Notice{Server: server, Number: taken.number, Tokens: taken.tokens})
	}
	return taken
}

func (desk *Desk) dispatch(service string, now time.Time) {
	for _, waiter := range desk.lines[service].Waiters() {
		taken := desk.start(waiter.Need, now)
		if taken == nil {
			continue
		}
		desk.lines[service] = desk.lines[service].Without(waiter.Number)
		desk.granted[waiter.Number] <- taken
		delete(desk.granted, waiter.Number)
	}
}

// leave takes a waiter out of the line and returns its place, if it has been
// given one meanwhile.
func (desk *Desk) leave(service string, number uint64, grant chan *place) *place {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	desk.lines[service] = desk.lines[service].Without(number)
	delete(desk.granted, number)
	select {
	case taken := <-grant:
		return taken
	default:
		return nil
	}
}

// end gives a place back.
func (desk *Desk) end(taken *place, outcome placements.Outcome) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	now := time.Now()
	desk.answer(taken)
	desk.fleet.End(taken.server.ID, outcome, now)
	desk.dispatch(taken.server.Service, now)
}

// answer records that the server needs not read the request any more.
func (desk *Desk) answer(taken *place) {
	if taken.answered || taken.tokens == 0 {
		return
	}
	taken.answered = true
	desk.fleet.Answer(taken.server.ID, taken.tokens)
	desk.notify(Notice{Server: taken.server, Number: taken.number, Answered: true})
}

// reply records the time to the first event or answer of a request.
func (desk *Desk) reply(taken *place, after time.Duration) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	desk.answer(taken)
	desk.fleet.Reply(taken.server.ID, after)
	desk.dispatch(taken.server.Service, time.Now())
}

// arrive counts a request of a caller for the retry budget of its service.
func (desk *Desk) arrive(service string) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	desk.retries[service] = desk.retries[service].WithRequest(time.Now())
}

// mayRepeat takes one retry from the budget of the service.
func (desk *Desk) mayRepeat(service string) bool {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	retries, allowed := desk.retries[service].WithRetry(time.Now())
	desk.retries[service] = retries
	return allowed
}

package gateways

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"firford/lib/placements"
)

type (
	// AdmissionQueue gives places to the requests of a gateway, and lets them wait for one. It
	// is safe for concurrent use.
	AdmissionQueue struct {
		mutex      sync.Mutex
		dispatcher *placements.Dispatcher
		granted    map[uint64]chan *placements.Reservation
		notify     func(RequestNotice)
	}

	// RequestNotice tells the agent beside a server of a request of this entry: that it
	// was sent, with its prompt tokens, or that it needs no reading any more.
	RequestNotice struct {
		Server        placements.Server
		RequestNumber uint64
		PromptTokens  int
		Answered      bool
	}

	// refusal tells why a request got no place and after which time it should come
	// back.
	refusal struct {
		placements.Refused
		reason reason
	}
)

func (refusal *refusal) Error() string {
	return fmt.Sprintf("%s, come back in %s", refusal.reason, refusal.RetryAfter)
}

// NewAdmissionQueue returns a desk that places at the fleet and tells notify of requests to
// engines. Notify must not block.
func NewAdmissionQueue(fleet *placements.Fleet, notify func(RequestNotice)) *AdmissionQueue {
	return &AdmissionQueue{
		notify:     notify,
		dispatcher: placements.NewDispatcher(fleet, rand.Float64),
		granted:    map[uint64]chan *placements.Reservation{},
	}
}

// UpdateFleet lets a function change the fleet and then places those that wait.
func (desk *AdmissionQueue) UpdateFleet(change func(fleet *placements.Fleet, now time.Time)) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	now := time.Now()
	change(desk.dispatcher.Fleet(), now)
	desk.hand(desk.dispatcher.DispatchAll(now))
}

// startBy returns by when a request has to be placed, and whether it is late.
func (desk *AdmissionQueue) startBy(hurry placements.Urgency, service string) (time.Time, bool) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	return desk.dispatcher.Fleet().StartBy(hurry, service, time.Now())
}

// take returns a place at a server with room for the request, waiting for one
// until the waiter has to start. The error is a *refusal unless the context ended
// first. Each place has to be given back with end.
func (desk *AdmissionQueue) take(ctx context.Context, waiter placements.Waiter) (*placements.Reservation, error) {
	place, grant, number, err := desk.ask(waiter)
	if err != nil || place != nil {
		return place, err
	}
	timer := time.NewTimer(time.Until(waiter.StartBy))
	defer timer.Stop()
	select {
	case place := <-grant:
		return place, nil
	case <-timer.C:
		return desk.leave(waiter, number, grant)
	case <-ctx.Done():
		if place, _ := desk.leave(waiter, number, grant); place != nil {
			desk.end(place, placements.Abandoned)
		}
		return nil, context.Cause(ctx)
	}
}

// ask places the request at once, refuses it or puts it into the line.
func (desk *AdmissionQueue) ask(waiter placements.Waiter) (*placements.Reservation, chan *placements.Reservation, uint64, error) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	switch decision := desk.dispatcher.Admit(waiter, time.Now()).(type) {
	case placements.Placed:
		desk.tell(decision.Reservation)
		return decision.Reservation, nil, 0, nil
	case placements.Queued:
		grant := make(chan *placements.Reservation, 1)
		desk.granted[decision.Number] = grant
		return nil, grant, decision.Number, nil
	case placements.Refused:
		return nil, nil, 0, &refusal{Refused: decision, reason: reasonTooManyWait}
	default:
		panic(fmt.Sprintf("unknown decision %T", decision))
	}
}

// leave takes a waiter out of the line. It returns its place, if it has been
// given one meanwhile, or else refuses it.
func (desk *AdmissionQueue) leave(waiter placements.Waiter, number uint64, grant chan *placements.Reservation) (*placements.Reservation, error) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	delete(desk.granted, number)
	select {
	case place := <-grant:
		return place, nil
	default:
		return nil, &refusal{Refused: desk.dispatcher.Refuse(waiter, number, time.Now()), reason: reasonNoPlaceInTime}
	}
}

// hand passes places on to those that wait for them. The caller holds the mutex.
func (desk *AdmissionQueue) hand(grants []placements.Grant) {
	for _, grant := range grants {
		desk.tell(grant.Reservation)
		desk.granted[grant.Number] <- grant.Reservation
		delete(desk.granted, grant.Number)
	}
}

// tell notifies the agent of a request that has to be read.
func (desk *AdmissionQueue) tell(place *placements.Reservation) {
	if place.Tokens > 0 {
		desk.notify(RequestNotice{Server: place.Server, RequestNumber: place.Number, PromptTokens: place.Tokens})
	}
}

// end gives a place back.
func (desk *AdmissionQueue) end(place *placements.Reservation, outcome placements.Outcome) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	now := time.Now()
	desk.answer(place)
	desk.dispatcher.Release(place, outcome, now)
	desk.hand(desk.dispatcher.Dispatch(place.Server.Service, now))
}

// answer tells the agent that the server needs not read the request any more.
func (desk *AdmissionQueue) answer(place *placements.Reservation) {
	if desk.dispatcher.RecordAnswer(place) {
		desk.notify(RequestNotice{Server: place.Server, RequestNumber: place.Number, Answered: true})
	}
}

// reply records the time to the first event or answer of a request.
func (desk *AdmissionQueue) reply(place *placements.Reservation, after time.Duration) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	desk.answer(place)
	desk.dispatcher.RecordReplyTime(place, after)
	desk.hand(desk.dispatcher.Dispatch(place.Server.Service, time.Now()))
}

// arrive counts a request of a caller for the retry budget of its service.
func (desk *AdmissionQueue) arrive(service string) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	desk.dispatcher.CountRequest(service, time.Now())
}

// mayRepeat takes one retry from the budget of the service.
func (desk *AdmissionQueue) mayRepeat(service string) bool {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	return desk.dispatcher.TakeRetry(service, time.Now())
}

// occupancy returns what a service looks like to a plain request.
func (desk *AdmissionQueue) occupancy(service string) placements.ServiceStatus {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	return desk.dispatcher.ServiceStatus(service, time.Now())
}

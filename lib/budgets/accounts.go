package budgets

// This file holds what one caller's connection holds, and the decision which of them has to
// make room.

import (
	"errors"
	"time"
)

// Phases of an account.
const (
	// Idle is the time without a request.
	Idle Phase = iota
	// ReceivingHead and ReceivingBody wait for bytes of the caller.
	ReceivingHead
	ReceivingBody
	// Serving is the time in which the caller waits for the process.
	Serving
	// Sending waits until the caller reads.
	Sending
)

const (
	// minStall is how long an account must not have moved before it is evicted in favour of
	// one that holds much. It exceeds the pauses of a sound connection.
	minStall = 250 * time.Millisecond
	// minSilence is the same in favour of a new connection or a small request, which most
	// callers send as soon as they have connected.
	minSilence = 20 * time.Millisecond
	// slowBytesPerS is the rate below which an account counts as if it did not move.
	slowBytesPerS = 16 << 10
	// maxTrust bounds by how much the cost of a caller is divided that has been served.
	maxTrust = 64
)

// What does not suffice.
const (
	lackNone lack = iota
	lackConnections
	lackSmall
	lackLarge
	lackLargeRequests
)

type (
	// Phase is what an account is doing.
	Phase int

	lack int

	// Account is what one connection of a caller holds. It is safe for concurrent use.
	Account struct {
		budget    *Budget
		evict     func(Phase)
		hasUnread func() bool

		// The mutex of the budget guards the rest.
		holding   holding
		state     state
		isEvicted bool
	}

	// victim is an account that is evicted, and its phase at that time.
	victim struct {
		account *Account
		phase   Phase
	}

	// holding is what an account holds beside its connection. It is an immutable value.
	holding struct {
		isOpen                    bool
		requestBytes, answerBytes int64
	}

	// state is what an account does and how much it has moved. It is an immutable value.
	// served counts its requests that were served.
	state struct {
		phase      Phase
		since      time.Time
		movedAt    time.Time
		movedBytes int64
		served     int
	}
)

// Take lets the account hold more bytes of the kind, or returns ErrExhausted or ErrEvicted.
func (account *Account) Take(kind Kind, bytes int64) error {
	return account.take(func(held holding) holding { return held.with(kind, bytes) })
}

// TakeAtLeast is like Take for the part of the bytes by which the account holds less.
func (account *Account) TakeAtLeast(kind Kind, bytes int64) error {
	return account.take(func(held holding) holding { return held.with(kind, max(0, bytes-held.bytesOf(kind))) })
}

func (account *Account) take(next func(holding) holding) error {
	err := account.budget.change(time.Now(), account, next)
	if err != nil {
		account.budget.metrics.refusedBytes.Inc(1)
	}
	return err
}

// IsRefusal reports whether a request could not be read, with the error, since callers hold
// too much.
func (account *Account) IsRefusal(err error) bool {
	return errors.Is(err, ErrExhausted) || err != nil && account.IsEvicted()
}

// Give gives bytes of the kind back. It may be called after Close.
func (account *Account) Give(kind Kind, bytes int64) {
	budget := account.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	account.set(account.holding.with(kind, -bytes))
}

// set changes what the account holds to something that needs no check. The caller holds the
// mutex of the budget.
func (account *Account) set(after holding) {
	account.budget.settle(account, after.usage().plus(account.holding.usage(), -1))
	account.holding = after
}

// Close gives the connection and its request back. Answers that are still being read from
// servers are given back by who reads them.
func (account *Account) Close() {
	budget := account.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	account.set(holding{answerBytes: account.holding.answerBytes})
}

// Enter begins a phase. It returns ErrEvicted if the account was evicted, so that a request
// must not be served. Idle gives back what its request has taken.
func (account *Account) Enter(phase Phase) error {
	budget := account.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	account.state = account.state.with(phase, time.Now())
	if phase == Idle {
		after := account.holding
		after.requestBytes = 0
		account.set(after)
	}
	if account.isEvicted {
		return ErrEvicted
	}
	return nil
}

// EndRequest begins the phase Idle, and gives the answer back as well. It is for servers that
// read no answer after the end of its request.
func (account *Account) EndRequest() {
	_ = account.Enter(Idle) // An evicted connection is closed by now.
	account.Give(Answers, account.Holds(Answers))
}

// Holds returns how many bytes of the kind the account holds.
func (account *Account) Holds(kind Kind) int64 {
	account.budget.mutex.Lock()
	defer account.budget.mutex.Unlock()
	return account.holding.bytesOf(kind)
}

// IsEvicted reports whether the account had to make room.
func (account *Account) IsEvicted() bool {
	account.budget.mutex.Lock()
	defer account.budget.mutex.Unlock()
	return account.isEvicted
}

// phase returns the phase of the account.
func (account *Account) phase() Phase {
	account.budget.mutex.Lock()
	defer account.budget.mutex.Unlock()
	return account.state.phase
}

// move records that bytes have come or gone, and returns the phase.
func (account *Account) move(count int) (Phase, error) {
	budget := account.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if count > 0 {
		account.state = account.state.moved(count, time.Now())
	}
	if account.isEvicted {
		return account.state.phase, ErrEvicted
	}
	return account.state.phase, nil
}

// beginSending begins the phase Sending and returns the one before.
func (account *Account) beginSending() Phase {
	account.budget.mutex.Lock()
	defer account.budget.mutex.Unlock()
	before := account.state.phase
	account.state = account.state.with(Sending, time.Now())
	return before
}

// opened returns the holding with its connection.
func (held holding) opened() holding {
	held.isOpen = true
	return held
}

// with returns the holding with more bytes of a kind, or fewer.
func (held holding) with(kind Kind, bytes int64) holding {
	switch kind {
	case Requests:
		held.requestBytes = max(0, held.requestBytes+bytes)
	default:
		held.answerBytes = max(0, held.answerBytes+bytes)
	}
	return held
}

func (held holding) bytesOf(kind Kind) int64 {
	if kind == Requests {
		return held.requestBytes
	}
	return held.answerBytes
}

// usage returns what the holding takes of the pools. Requests fill its small part first.
func (held holding) usage() Usage {
	total := held.requestBytes + held.answerBytes
	usage := Usage{
		SmallBytes: min(total, SmallBytes), LargeBytes: max(0, total-SmallBytes),
		LargeRequestBytes: max(0, held.requestBytes-SmallBytes),
	}
	if held.isOpen {
		usage.Connections = 1
		usage.SmallBytes += ConnectionBytes
	}
	return usage
}

// of returns how many of the bytes that don't suffice the holding has. Who has to close its
// connection gives back all of them.
func (held holding) of(lacking lack) int64 {
	usage := held.usage()
	switch lacking {
	case lackLargeRequests:
		return usage.LargeRequestBytes
	case lackLarge:
		return usage.LargeBytes
	default:
		return usage.SmallBytes + usage.LargeBytes
	}
}

func newState(now time.Time) state { return state{phase: Idle, since: now, movedAt: now} }

// with returns the state at the begin of a phase.
func (current state) with(phase Phase, now time.Time) state {
	if phase == Idle && current.phase != Idle {
		current.served++
	}
	current.phase, current.since, current.movedAt, current.movedBytes = phase, now, now, 0
	return current
}

// moved returns the state after bytes have come or gone. The first bytes of a request begin
// its head. That of the first request counts from the begin of the connection.
func (current state) moved(count int, now time.Time) state {
	if current.phase == Idle {
		opened := current.since
		current = current.with(ReceivingHead, now)
		if current.served == 0 {
			current.since = opened
		}
	}
	current.movedAt = now
	current.movedBytes += int64(count)
	return current
}

// stall returns for how long the account has not moved. What moves more slowly than
// slowBytesPerS counts as if it had moved at that rate and then not at all.
func (current state) stall(now time.Time) time.Duration {
	if current.phase == Serving {
		return 0
	}
	stall := now.Sub(current.movedAt)
	if current.phase == Idle {
		return stall
	}
	moving := time.Duration(float64(current.movedBytes) / slowBytesPerS * float64(time.Second))
	return max(stall, now.Sub(current.since)-moving)
}

// isOfSmall reports whether connections lack, or the pool that they are in.
func (lacking lack) isOfSmall() bool { return lacking == lackConnections || lacking == lackSmall }

// isEvictable reports whether the account may have to make room: not while it moves, and
// not while its caller waits for the process.
func (current state) isEvictable(now time.Time, lacking lack) bool {
	if current.phase == Serving {
		return false
	}
	if (current.phase == Idle || current.phase == ReceivingHead) && lacking.isOfSmall() {
		return current.stall(now) >= minSilence
	}
	return current.stall(now) >= minStall
}

// cost returns how much the account holds for how long without moving, in byte seconds. A
// caller that has been served before costs less.
func (current state) cost(now time.Time, held int64) float64 {
	return float64(held) * current.stall(now).Seconds() / float64(1+min(current.served, maxTrust-1))
}

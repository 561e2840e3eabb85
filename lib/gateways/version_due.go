package gateways

// This file keeps requests from beginning on a version that is due to be replaced. The due
// time is looked at right before a request is sent, while it waits at a server, and again
// when it changes: a version may be announced meanwhile, or turn out to be older than it
// seemed.

import (
	"errors"
	"sync"
	"time"

	"firford/lib/placements"
	"firford/lib/waits"
)

// causeVersionDue is the cause of a withdrawn request whose server's version was due.
const causeVersionDue = "version_due"

// errVersionDue is the error of an attempt that had not begun when the version of its
// server had to be replaced.
var errVersionDue = errors.New("the version of the server is due to be replaced")

// versionChanges wakes requests when the announced versions change. The zero value is ready
// to use, and it is safe for concurrent use.
type versionChanges struct {
	mutex sync.Mutex
	next  chan struct{}
}

// wait returns a channel that is closed by the next change.
func (changes *versionChanges) wait() <-chan struct{} {
	changes.mutex.Lock()
	defer changes.mutex.Unlock()
	if changes.next == nil {
		changes.next = make(chan struct{})
	}
	return changes.next
}

func (changes *versionChanges) notify() {
	changes.mutex.Lock()
	defer changes.mutex.Unlock()
	if changes.next != nil {
		close(changes.next)
		changes.next = nil
	}
}

// RecheckVersions makes requests that wait at servers look at the due times of their
// versions again. It is called after VersionDeadline has changed.
func (gateway *Gateway) RecheckVersions() { gateway.versionChanges.notify() }

// replacementDue returns from when on no request may begin on the server's version, or
// false if no newer one is announced or the request names no model.
func (request *request) replacementDue(server placements.Server) (time.Time, bool) {
	if request.info.Model == "" {
		return time.Time{}, false
	}
	return request.gateway.VersionDeadline(request.info.Model, server.Versions[request.info.Model])
}

// isVersionDue reports whether no request may begin on the server's version any more.
func (request *request) isVersionDue(server placements.Server) bool {
	due, isReplaced := request.replacementDue(server)
	return isReplaced && !time.Now().Before(due)
}

// versionDeadline returns by when the answer must have begun because the server's
// version is about to be replaced. A request that has not begun by then is sent to
// another server. Without a replacement it returns the request's own deadline.
func (request *request) versionDeadline(server placements.Server) time.Time {
	deadline := request.deadline.Add(answerMargin)
	if due, isReplaced := request.replacementDue(server); isReplaced {
		return waits.Earlier(due, deadline)
	}
	return deadline
}

// isReplacementAnnounced reports whether the server's version must be replaced. Its
// requests then go over new connections: over a full link, bytes sent on an open one
// may arrive seconds later, after the due time, while a connection is only established
// in time if the link is free enough.
func (request *request) isReplacementAnnounced(server placements.Server) bool {
	_, isReplaced := request.replacementDue(server)
	return isReplaced
}

// isWaiting reports whether the request is at the server and the answer has not begun.
func (attempt *attempt) isWaiting() bool { return attempt.conn != nil && attempt.head == nil }

// dueAttempt returns an attempt whose answer has not begun and whose version is due, or
// false if there is none.
func (relay *relay) dueAttempt() (*attempt, bool) {
	for _, each := range relay.open {
		if each.isWaiting() && relay.request.isVersionDue(each.reservation.Server) {
			return each, true
		}
	}
	return nil, false
}

// resetTimer sets the timer to when the first server counts as silent or a version is due,
// whichever comes first.
func (relay *relay) resetTimer() {
	at := relay.open[0].silentAt
	for _, each := range relay.open {
		due, isReplaced := relay.request.replacementDue(each.reservation.Server)
		if each.isWaiting() && isReplaced && (at.IsZero() || due.Before(at)) {
			at = due
		}
	}
	if !at.IsZero() {
		relay.timer.Reset(time.Until(at))
	}
}

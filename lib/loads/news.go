package loads

// An agent passes on what one entry has heard from a server to all others. If each report
// named all that is current, statements would cost as much as everything else: reports go
// from each agent to each entry up to 25 times a second. So what is new goes out at once
// and with the next few reports, since datagrams get lost, and an entry asks a few agents
// for the rest (see Listener).

import (
	"time"

	"firford/lib/placements"
	"firford/lib/quarantines"
)

const (
	// newsSends is how many times an agent sends the same news to each entry.
	newsSends = 4
	// maxNews bounds the news that an agent still has to send. The oldest are dropped: the
	// entries ask for them.
	maxNews = 64
)

type (
	// news are statements and crashes that were heard together.
	news struct {
		limits  map[string]placements.LimitStatement
		leaving map[string]placements.LeavingStatement
		crashes quarantines.Records
	}

	// newsQueue holds the news that are still to be sent, the oldest first. It is immutable.
	newsQueue struct{ items []queuedNews }

	queuedNews struct {
		news
		sendsLeft int
	}
)

func (heard news) isEmpty() bool {
	return len(heard.limits)+len(heard.leaving) == 0 && heard.crashes.IsEmpty()
}

// since returns the news without the statements and crashes that are older than the time.
func (heard news) since(from time.Time) news {
	recent := news{limits: map[string]placements.LimitStatement{}, leaving: map[string]placements.LeavingStatement{}}
	for server, statement := range heard.limits {
		if statement.HeardAt.After(from) {
			recent.limits[server] = statement
		}
	}
	for server, statement := range heard.leaving {
		if statement.HeardAt.After(from) {
			recent.leaving[server] = statement
		}
	}
	for _, crash := range heard.crashes.Crashes() {
		if crash.At.After(from) {
			// The answers show which traits of the crashes are sound.
			recent.crashes = heard.crashes
		}
	}
	return recent
}

// with returns the queue with more news.
func (queue newsQueue) with(heard news) newsQueue {
	items := append(append([]queuedNews{}, queue.items...), queuedNews{news: heard, sendsLeft: newsSends})
	return newsQueue{items: items[max(0, len(items)-maxNews):]}
}

// take returns all news in one, and the queue after they were sent.
func (queue newsQueue) take(now time.Time) (news, newsQueue) {
	all := news{limits: map[string]placements.LimitStatement{}, leaving: map[string]placements.LeavingStatement{}}
	var next newsQueue
	for _, item := range queue.items {
		for server, statement := range item.limits {
			all.limits[server] = statement
		}
		for server, statement := range item.leaving {
			all.leaving[server] = statement
		}
		all.crashes, _ = all.crashes.WithAll(item.crashes, now)
		if item.sendsLeft--; item.sendsLeft > 0 {
			next.items = append(next.items, item)
		}
	}
	return all, next
}

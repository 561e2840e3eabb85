package loads

// An agent passes on what one entry has heard from a server to all others. If each report
// named all that is current, statements would cost as much as everything else: reports go
// from each agent to each entry up to 25 times a second. So what is new goes out at once
// and with the next few reports, since datagrams get lost, and an entry asks a few agents
// for the rest (see Listener).

import (
	"maps"
	"slices"
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
	recent := news{limits: maps.Clone(heard.limits), leaving: maps.Clone(heard.leaving)}
	maps.DeleteFunc(recent.limits, func(_ string, statement placements.LimitStatement) bool { return !statement.HeardAt.After(from) })
	maps.DeleteFunc(recent.leaving, func(_ string, statement placements.LeavingStatement) bool { return !statement.HeardAt.After(from) })
	if slices.ContainsFunc(heard.crashes.Crashes(), func(crash quarantines.Crash) bool { return crash.At.After(from) }) {
		// The answers show which traits of the crashes are sound.
		recent.crashes = heard.crashes
	}
	return recent
}

// with returns the queue with more news.
func (queue newsQueue) with(heard news) newsQueue {
	items := append(slices.Clone(queue.items), queuedNews{news: heard, sendsLeft: newsSends})
	return newsQueue{items: items[max(0, len(items)-maxNews):]}
}

// take returns all news in one, and the queue after they were sent.
func (queue newsQueue) take(now time.Time) (news, newsQueue) {
	all := news{limits: map[string]placements.LimitStatement{}, leaving: map[string]placements.LeavingStatement{}}
	var next newsQueue
	for _, item := range queue.items {
		maps.Copy(all.limits, item.limits)
		maps.Copy(all.leaving, item.leaving)
		all.crashes, _ = all.crashes.WithAll(item.crashes, now)
		if item.sendsLeft--; item.sendsLeft > 0 {
			next.items = append(next.items, item)
		}
	}
	return all, next
}

// recordStatements adds to the known statements, at most limit of them, those that were
// heard later, and returns those of them that say something new.
func recordStatements[S any](known, heard map[string]S, limit int, isLater, isNews func(next, known S) bool) map[string]S {
	fresh := map[string]S{}
	for server, next := range heard {
		former, isKnown := known[server]
		if isKnown && !isLater(next, former) || !isKnown && len(known) >= limit {
			continue
		}
		known[server] = next
		if !isKnown || isNews(next, former) {
			fresh[server] = next
		}
	}
	return fresh
}

// currentStatements forgets the statements that no longer count, and returns a copy of the
// others.
func currentStatements[S interface{ IsCurrent(now time.Time) bool }](known map[string]S, now time.Time) map[string]S {
	maps.DeleteFunc(known, func(_ string, statement S) bool { return !statement.IsCurrent(now) })
	return maps.Clone(known)
}

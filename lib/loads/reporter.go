package loads

// This file is the part of an agent: it keeps the subscriptions of the entries, counts
// the prompts that they sent to its engine, and reports the engine's load.

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"firford/lib/directives"
	"firford/lib/placements"
	"firford/lib/quarantines"
	"firford/lib/shares"
)

const (
	// subscriptionLifetime tolerates the loss of two subscriptions in a row.
	subscriptionLifetime = 3500 * time.Millisecond
	// refreshInterval is how often an unchanged report is sent again.
	refreshInterval = 450 * time.Millisecond
	// maxNewsAge is how old a statement may be that an agent passes on when it hears it in a
	// subscription. An older one has reached all entries by then or is asked for.
	maxNewsAge = 1500 * time.Millisecond
	// promptLifetime is longer than any prompt waits, and maxPendingPrompts is more than
	// an engine can queue.
	promptLifetime    = 3 * time.Second
	maxPendingPrompts = 4096
)

type (
	// requestKey identifies a request among those of all entries.
	requestKey struct {
		entry  netip.AddrPort
		number uint64
	}

	// pendingPrompt is a prompt that the engine has not read yet, as far as the agent
	// knows. It expires in case its entry never reports the end.
	pendingPrompt struct {
		tokens int
		until  time.Time
	}

	// AnnouncementReply is what an agent answers to the announcement of an entry: whether it
	// needs the parameters of the engines and origins, and the ages of versions and the
	// evacuations that the entry lacks. These are only sent to an entry that asks for what the
	// agent knows.
	AnnouncementReply struct {
		NeedsServices bool
		Ages          directives.VersionAges
		Evacuations   *directives.EvacuationState
	}

	// Reporter sends the reports of an agent. It is safe for concurrent use.
	Reporter struct {
		conn           net.PacketConn
		onAnnouncement func(directives.Announcement) AnnouncementReply
		logger         *zap.Logger
		mutex          sync.Mutex
		subscribers    map[netip.AddrPort]time.Time
		prompts        map[requestKey]pendingPrompt
		limits         map[string]placements.LimitStatement
		crashes        quarantines.Records
		leaving        map[string]placements.LeavingStatement
		news           newsQueue
		last           placements.Report
		lastSent       time.Time
		unevenness
	}
)

// NewReporter returns a reporter without subscribers. It passes the announcements of
// the entries to onAnnouncement, and sends the reply to the entry.
func NewReporter(conn net.PacketConn, onAnnouncement func(directives.Announcement) AnnouncementReply, logger *zap.Logger) *Reporter {
	return &Reporter{conn: conn, onAnnouncement: onAnnouncement, logger: logger, subscribers: map[netip.AddrPort]time.Time{}, prompts: map[requestKey]pendingPrompt{}, limits: map[string]placements.LimitStatement{}, leaving: map[string]placements.LeavingStatement{}, unevenness: unevenness{demands: map[netip.AddrPort]shares.Demand{}}}
}

// Run receives subscriptions, announcements and requests until the context ends.
func (reporter *Reporter) Run(ctx context.Context) {
	receive(ctx, reporter.conn, reporter.logger, reporter.handle)
}

func (reporter *Reporter) handle(incoming message, from netip.AddrPort) {
	if incoming.Request != nil {
		reporter.recordPrompt(from, *incoming.Request)
		reporter.handlePace(incoming.Request.Pace, time.Now())
	}
	if incoming.Announcement != nil {
		reporter.reply(from, incoming, reporter.onAnnouncement(*incoming.Announcement))
	}
	now := time.Now()
	// An entry that has just started uses the servers from the first report on.
	if incoming.NeedsCrashes {
		reporter.sendEvidence(from, now)
	}
	if incoming.Subscribe {
		reporter.recordDemand(from, incoming.Demand)
		reporter.subscribe(from)
	}
	heard := news{
		limits: decodeLimits(incoming.Limits, now), leaving: decodeLeaving(incoming.Leaving, now), crashes: decodeCrashes(incoming.Crashes, now),
	}
	if reporter.recordNews(heard, incoming.Subscribe, now) {
		reporter.sendNews()
	}
	if incoming.NeedsStatements {
		reporter.sendStatements(from, now)
	}
}

// reply answers the announcement of an entry if there is something to say. Over a slow link
// each announcement seems to lack something, so ages and evacuations go only to entries that ask.
func (reporter *Reporter) reply(to netip.AddrPort, incoming message, reply AnnouncementReply) {
	if !incoming.NeedsStatements && !incoming.NeedsCrashes {
		reply.Ages, reply.Evacuations = nil, nil
	}
	if reply.NeedsServices || len(reply.Ages) > 0 || reply.Evacuations != nil {
		send(reporter.conn, to, message{NeedsServices: reply.NeedsServices, Ages: reply.Ages, Evacuations: reply.Evacuations}, reporter.logger)
	}
}

// recordNews records what an entry has heard, and reports whether the other entries have
// to be told at once. What a subscription repeats for long is not passed on again.
func (reporter *Reporter) recordNews(heard news, isSubscription bool, now time.Time) bool {
	fresh := news{limits: reporter.recordLimits(heard.limits), leaving: reporter.recordLeaving(heard.leaving)}
	if reporter.recordCrashes(heard.crashes, now) {
		fresh.crashes = heard.crashes
	}
	if isSubscription {
		fresh = fresh.since(now.Add(-maxNewsAge))
	}
	if fresh.isEmpty() {
		return false
	}
	reporter.mutex.Lock()
	defer reporter.mutex.Unlock()
	reporter.news = reporter.news.with(fresh)
	return true
}

// recordCrashes records the crashes that an entry has seen, and reports whether one is
// new.
func (reporter *Reporter) recordCrashes(heard quarantines.Records, now time.Time) (isNew bool) {
	reporter.mutex.Lock()
	defer reporter.mutex.Unlock()
	reporter.crashes, isNew = reporter.crashes.WithAll(heard, now)
	return isNew
}

// sendEvidence tells an entry which crashes quarantines come from.
func (reporter *Reporter) sendEvidence(to netip.AddrPort, now time.Time) {
	reporter.mutex.Lock()
	evidence := reporter.crashes.Evidence(now)
	reporter.mutex.Unlock()
	if !evidence.IsEmpty() {
		send(reporter.conn, to, message{Crashes: encodeCrashes(evidence, now)}, reporter.logger)
	}
}

// recordLimits records the limits that an entry has heard, and returns those that have
// changed.
func (reporter *Reporter) recordLimits(heard map[string]placements.LimitStatement) map[string]placements.LimitStatement {
	reporter.mutex.Lock()
	defer reporter.mutex.Unlock()
	return recordStatements(reporter.limits, heard, maxLimits,
		func(next, known placements.LimitStatement) bool { return next.HeardAt.After(known.HeardAt) },
		func(next, known placements.LimitStatement) bool { return next.PerS != known.PerS })
}

// recordLeaving records the leaving servers that an entry has heard of, and returns those
// that are new.
func (reporter *Reporter) recordLeaving(heard map[string]placements.LeavingStatement) map[string]placements.LeavingStatement {
	reporter.mutex.Lock()
	defer reporter.mutex.Unlock()
	return recordStatements(reporter.leaving, heard, maxLeaving,
		func(next, known placements.LeavingStatement) bool { return next.HeardAt.After(known.HeardAt) },
		func(next, known placements.LeavingStatement) bool {
			return next.StartedUnixMilli > known.StartedUnixMilli
		})
}

// sendNews sends the last report again, with what was heard just now.
func (reporter *Reporter) sendNews() {
	now := time.Now()
	reporter.mutex.Lock()
	last, to := reporter.last, reporter.currentSubscribers(now)
	isHeard := last.Server != "" && len(to) > 0
	if isHeard {
		last = reporter.withNews(last, now)
	}
	reporter.mutex.Unlock()
	if isHeard {
		reporter.sendTo(to, to, last)
	}
}

// withNews returns the report with the news, which count as sent once more. The caller
// holds the mutex.
func (reporter *Reporter) withNews(next placements.Report, now time.Time) placements.Report {
	var sent news
	sent, reporter.news = reporter.news.take(now)
	next.Limits, next.Leaving, next.Crashes = sent.limits, sent.leaving, sent.crashes
	return next
}

// sendStatements sends an entry all that is current.
func (reporter *Reporter) sendStatements(to netip.AddrPort, now time.Time) {
	reporter.mutex.Lock()
	last, all := reporter.last, reporter.currentSubscribers(now)
	last.Limits, last.Leaving = currentStatements(reporter.limits, now), currentStatements(reporter.leaving, now)
	last.Crashes = reporter.crashes.Recent(now)
	reporter.mutex.Unlock()
	if last.Server != "" && len(last.Limits)+len(last.Leaving)+len(last.Crashes.Crashes()) > 0 {
		reporter.sendTo([]netip.AddrPort{to}, all, last)
	}
}

// subscribe adds or renews a subscription, and sends the last report to a new
// subscriber.
func (reporter *Reporter) subscribe(from netip.AddrPort) {
	reporter.mutex.Lock()
	_, known := reporter.subscribers[from]
	reporter.subscribers[from] = time.Now().Add(subscriptionLifetime)
	last, all := reporter.last, reporter.currentSubscribers(time.Now())
	reporter.mutex.Unlock()
	if !known && last.Server != "" {
		reporter.sendTo([]netip.AddrPort{from}, all, last)
	}
}

// currentSubscribers returns the entries whose subscription is not over, ordered by
// address. The caller holds the mutex.
func (reporter *Reporter) currentSubscribers(now time.Time) []netip.AddrPort {
	var current []netip.AddrPort
	for entry, until := range reporter.subscribers {
		if now.After(until) {
			delete(reporter.subscribers, entry)
			delete(reporter.demands, entry)
			continue
		}
		current = append(current, entry)
	}
	slices.SortFunc(current, netip.AddrPort.Compare)
	return current
}

// recordPrompt tracks the prompts that the engine has to read.
func (reporter *Reporter) recordPrompt(from netip.AddrPort, incoming request) {
	reporter.mutex.Lock()
	defer reporter.mutex.Unlock()
	key := requestKey{entry: from, number: incoming.Number}
	if incoming.Tokens <= 0 {
		delete(reporter.prompts, key)
		return
	}
	if len(reporter.prompts) < maxPendingPrompts {
		reporter.prompts[key] = pendingPrompt{tokens: incoming.Tokens, until: time.Now().Add(promptLifetime)}
	}
}

// pendingTokens returns the prompt tokens that the engine has to read. The caller holds
// the mutex.
func (reporter *Reporter) pendingTokens(now time.Time) int {
	sum := 0
	for key, each := range reporter.prompts {
		if now.After(each.until) {
			delete(reporter.prompts, key)
			continue
		}
		sum += each.tokens
	}
	return sum
}

// Report sends the report to all subscribers if it differs from the last one or the
// last one is old.
func (reporter *Reporter) Report(next placements.Report) {
	now := time.Now()
	reporter.mutex.Lock()
	next.Pending = reporter.pendingTokens(now)
	next.Pace = reporter.pace
	if equal(next, reporter.last) && now.Sub(reporter.lastSent) < refreshInterval {
		reporter.mutex.Unlock()
		return
	}
	next.Number = reporter.last.Number + 1
	reporter.last, reporter.lastSent = next, now
	to := reporter.currentSubscribers(now)
	reporter.deal(to, next.Number)
	if len(to) > 0 {
		next = reporter.withNews(next, now)
	}
	reporter.mutex.Unlock()
	reporter.sendTo(to, to, next)
}

func equal(left, right placements.Report) bool {
	return !left.Pace.DiffersNotably(right.Pace) && left.Server == right.Server && left.Incarnation == right.Incarnation && left.Running == right.Running &&
		left.Queued == right.Queued && left.Pending == right.Pending && left.Closed == right.Closed && maps.Equal(left.Versions, right.Versions)
}

// sendTo sends the report to some of all subscribers.
func (reporter *Reporter) sendTo(entries, all []netip.AddrPort, next placements.Report) {
	parts := reporter.partsOf(next)
	outgoing := report{
		Server: next.Server, Incarnation: next.Incarnation, Running: next.Running,
		Queued: next.Queued, Pending: next.Pending, Closed: next.Closed, Versions: next.Versions,
		Number: next.Number, Entries: len(all), Limits: encodeLimits(next.Limits, time.Now()), Leaving: encodeLeaving(next.Leaving, time.Now()),
		Crashes: encodeCrashes(next.Crashes, time.Now()),
	}.withPace(next.Pace, time.Now())
	for _, entry := range entries {
		outgoing.Position, _ = slices.BinarySearchFunc(all, entry, netip.AddrPort.Compare)
		outgoing.Share = encodePart(parts[entry])
		send(reporter.conn, entry, message{Report: &outgoing}, reporter.logger)
	}
}

// Package loads carries the load of backend servers from the agents beside them
// to the entries, and announcements of the operator's table from the entries to the
// agents.
//
// Reports are datagrams: a newer report replaces an older one, so a lost one needs
// no retransmission, and there is no connection that can stall. Entries renew their
// subscription at every agent each second; an agent drops an entry that has stopped
// doing so. A report has about 120 bytes.
package loads

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"firford/lib/directives"
	"firford/lib/placements"
)

const (
	subscribeInterval = time.Second
	// subscriptionLifetime tolerates the loss of two subscriptions in a row.
	subscriptionLifetime = 3500 * time.Millisecond
	// refreshInterval is how often an unchanged report is sent again.
	refreshInterval = 450 * time.Millisecond
	// maxDatagramBytes has room for the parameters of some dozen kinds of engines.
	maxDatagramBytes = 8192
	// promptLifetime is longer than any prompt waits, and maxPendingPrompts is more than
	// an engine can queue.
	promptLifetime    = 3 * time.Second
	maxPendingPrompts = 4096
)

type (
	// message is the only kind of datagram. Entries set Subscribe, Announcement and
	// Request; agents set Report and NeedsServices, which requests an announcement with
	// the parameters of the engines and origins.
	message struct {
		Subscribe     bool                     `json:"subscribe,omitempty"`
		Announcement  *directives.Announcement `json:"news,omitempty"`
		NeedsServices bool                     `json:"ask,omitempty"`
		Request       *request                 `json:"request,omitempty"`
		Report        *report                  `json:"report,omitempty"`
	}

	// request reports the progress of a request of an entry. Tokens is zero once its
	// prompt needs no more reading.
	request struct {
		Number uint64 `json:"number"`
		Tokens int    `json:"tokens,omitempty"`
	}

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

	// report is a placements.Report in a datagram.
	report struct {
		Server      string         `json:"server"`
		Incarnation int64          `json:"born"`
		Running     int            `json:"running"`
		Queued      int            `json:"queued"`
		Pending     int            `json:"pending,omitempty"`
		Closed      bool           `json:"closed,omitempty"`
		Versions    map[string]int `json:"versions,omitempty"`
	}

	// AnnouncementSource provides what an entry knows of the operator's table. Only
	// FullAnnouncement includes the parameters of the engines and origins.
	AnnouncementSource interface {
		Announcement() directives.Announcement
		FullAnnouncement() directives.Announcement
	}

	// Listener receives the reports at an entry.
	Listener struct {
		conn     net.PacketConn
		agents   func() []netip.AddrPort
		source   AnnouncementSource
		onReport func(placements.Report)
		logger   *zap.Logger
	}

	// Reporter sends the reports of an agent. It is safe for concurrent use.
	Reporter struct {
		conn           net.PacketConn
		onAnnouncement func(directives.Announcement) (needsServices bool)
		logger         *zap.Logger
		mutex          sync.Mutex
		subscribers    map[netip.AddrPort]time.Time
		prompts        map[requestKey]pendingPrompt
		last           placements.Report
		lastSent       time.Time
	}
)

// NewListener returns a listener that subscribes at the agents, sends them the
// announcements of the source and passes their reports to onReport.
func NewListener(conn net.PacketConn, agents func() []netip.AddrPort, source AnnouncementSource, onReport func(placements.Report), logger *zap.Logger) *Listener {
	return &Listener{conn: conn, agents: agents, source: source, onReport: onReport, logger: logger}
}

// Run receives reports and renews subscriptions until the context ends.
func (listener *Listener) Run(ctx context.Context) {
	go listener.subscribe(ctx)
	receive(ctx, listener.conn, listener.logger, listener.handle)
}

func (listener *Listener) handle(incoming message, from netip.AddrPort) {
	if incoming.NeedsServices {
		full := listener.source.FullAnnouncement()
		send(listener.conn, from, message{Announcement: &full}, listener.logger)
	}
	if incoming.Report != nil {
		listener.onReport(placements.Report{
			Server: incoming.Report.Server, Incarnation: incoming.Report.Incarnation, Running: incoming.Report.Running,
			Queued: incoming.Report.Queued, Pending: incoming.Report.Pending, Closed: incoming.Report.Closed, Versions: incoming.Report.Versions,
		})
	}
}

// NotifySent informs an agent that a request with this many prompt tokens was sent
// to its server.
func (listener *Listener) NotifySent(agent netip.AddrPort, number uint64, tokens int) {
	send(listener.conn, agent, message{Request: &request{Number: number, Tokens: tokens}}, listener.logger)
}

// NotifyAnswered informs an agent that its server began to answer a request, or
// never will.
func (listener *Listener) NotifyAnswered(agent netip.AddrPort, number uint64) {
	send(listener.conn, agent, message{Request: &request{Number: number}}, listener.logger)
}

// Announce sends the announcement to all agents at once. Each renewal of a subscription
// repeats it.
func (listener *Listener) Announce() {
	for _, agent := range listener.agents() {
		listener.sendSubscription(agent)
	}
}

func (listener *Listener) sendSubscription(agent netip.AddrPort) {
	announcement := listener.source.Announcement()
	send(listener.conn, agent, message{Subscribe: true, Announcement: &announcement}, listener.logger)
}

func (listener *Listener) subscribe(ctx context.Context) {
	known := map[netip.AddrPort]time.Time{}
	for tick := time.NewTicker(subscribeInterval / 10); ; {
		now := time.Now()
		for _, agent := range listener.agents() {
			if now.Sub(known[agent]) < subscribeInterval {
				continue
			}
			known[agent] = now
			listener.sendSubscription(agent)
		}
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
		}
	}
}

// NewReporter returns a reporter without subscribers. It passes the announcements of
// the entries to onAnnouncement, and requests the engine parameters from the entry if
// onAnnouncement returns true.
func NewReporter(conn net.PacketConn, onAnnouncement func(directives.Announcement) (needsServices bool), logger *zap.Logger) *Reporter {
	return &Reporter{conn: conn, onAnnouncement: onAnnouncement, logger: logger, subscribers: map[netip.AddrPort]time.Time{}, prompts: map[requestKey]pendingPrompt{}}
}

// Run receives subscriptions, announcements and requests until the context ends.
func (reporter *Reporter) Run(ctx context.Context) {
	receive(ctx, reporter.conn, reporter.logger, reporter.handle)
}

func (reporter *Reporter) handle(incoming message, from netip.AddrPort) {
	if incoming.Request != nil {
		reporter.recordPrompt(from, *incoming.Request)
	}
	if incoming.Announcement != nil && reporter.onAnnouncement(*incoming.Announcement) {
		send(reporter.conn, from, message{NeedsServices: true}, reporter.logger)
	}
	if incoming.Subscribe {
		reporter.subscribe(from)
	}
}

// subscribe adds or renews a subscription, and sends the last report to a new
// subscriber.
func (reporter *Reporter) subscribe(from netip.AddrPort) {
	reporter.mutex.Lock()
	_, known := reporter.subscribers[from]
	reporter.subscribers[from] = time.Now().Add(subscriptionLifetime)
	last := reporter.last
	reporter.mutex.Unlock()
	if !known && last.Server != "" {
		reporter.sendTo([]netip.AddrPort{from}, last)
	}
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
	if equal(next, reporter.last) && now.Sub(reporter.lastSent) < refreshInterval {
		reporter.mutex.Unlock()
		return
	}
	reporter.last, reporter.lastSent = next, now
	var to []netip.AddrPort
	for entry, until := range reporter.subscribers {
		if now.After(until) {
			delete(reporter.subscribers, entry)
			continue
		}
		to = append(to, entry)
	}
	reporter.mutex.Unlock()
	reporter.sendTo(to, next)
}

func equal(left, right placements.Report) bool {
	return left.Server == right.Server && left.Incarnation == right.Incarnation && left.Running == right.Running &&
		left.Queued == right.Queued && left.Pending == right.Pending && left.Closed == right.Closed && maps.Equal(left.Versions, right.Versions)
}

func (reporter *Reporter) sendTo(entries []netip.AddrPort, next placements.Report) {
	outgoing := message{Report: &report{
		Server: next.Server, Incarnation: next.Incarnation, Running: next.Running,
		Queued: next.Queued, Pending: next.Pending, Closed: next.Closed, Versions: next.Versions,
	}}
	for _, entry := range entries {
		send(reporter.conn, entry, outgoing, reporter.logger)
	}
}

func send(conn net.PacketConn, to netip.AddrPort, outgoing message, logger *zap.Logger) {
	encoded, err := json.Marshal(outgoing)
	if err != nil {
		logger.Error("load report not encoded", zap.Error(err))
		return
	}
	if _, err := conn.WriteTo(encoded, net.UDPAddrFromAddrPort(to)); err != nil {
		logger.Debug("load datagram not sent", zap.Stringer("to", to), zap.Error(err))
	}
}

func decode(datagram []byte) (message, error) {
	var incoming message
	err := json.Unmarshal(datagram, &incoming)
	return incoming, err
}

func receive(ctx context.Context, conn net.PacketConn, logger *zap.Logger, handle func(message, netip.AddrPort)) {
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, from, err := conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			logger.Debug("load datagram not received", zap.Error(err))
			continue
		}
		incoming, err := decode(buffer[:count])
		if err != nil {
			logger.Debug("load datagram not decoded", zap.Error(err))
			continue
		}
		address := from.(*net.UDPAddr).AddrPort()
		handle(incoming, netip.AddrPortFrom(address.Addr().Unmap(), address.Port()))
	}
}

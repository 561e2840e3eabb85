// Package loads carries the load of backend servers from the agents beside them
// to the entries, and news of the operator's table from the entries to the agents.
//
// Reports are datagrams: a newer report replaces an older one, so a lost one
// needs no repetition, and there is no connection that can go silent. Entries
// subscribe at every agent each second; an agent forgets an entry that has
// stopped to do so. A report has about 120 bytes.
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
	// subscriptionLifetime lets two subscriptions in a row get lost.
	subscriptionLifetime = 3500 * time.Millisecond
	// refreshInterval is how often an unchanged report is sent again.
	refreshInterval = 450 * time.Millisecond
	// datagramBytes holds the figures of some dozen kinds of engines.
	datagramBytes = 8192
	// unreadLifetime is longer than any prompt waits, and mostUnread more than an
	// engine can queue.
	unreadLifetime = 3 * time.Second
	mostUnread     = 4096
)

type (
	// message is the only datagram. Subscribe, News and Request are set by entries,
	// Report and Ask, which asks for the figures of the engines, by agents.
	message struct {
		Subscribe bool                     `json:"subscribe,omitempty"`
		News      *directives.Announcement `json:"news,omitempty"`
		Ask       bool                     `json:"ask,omitempty"`
		Request   *request                 `json:"request,omitempty"`
		Report    *report                  `json:"report,omitempty"`
	}

	// request tells of a request of an entry. Tokens is zero when it needs no
	// reading any more.
	request struct {
		Number uint64 `json:"number"`
		Tokens int    `json:"tokens,omitempty"`
	}

	// sender identifies a request among those of all entries.
	sender struct {
		entry  netip.AddrPort
		number uint64
	}

	// unread is a prompt that the engine has not read yet, as far as the agent has
	// heard. It is forgotten when its entry does not tell the end.
	unread struct {
		tokens int
		until  time.Time
	}

	report struct {
		Server   string         `json:"server"`
		Born     int64          `json:"born"`
		Running  int            `json:"running"`
		Queued   int            `json:"queued"`
		Pending  int            `json:"pending,omitempty"`
		Closed   bool           `json:"closed,omitempty"`
		Versions map[string]int `json:"versions,omitempty"`
	}

	// Wishes is what an entry knows of the operator's table.
	Wishes interface {
		Announcement() directives.Announcement
		FullAnnouncement() directives.Announcement
	}

	// Listener receives the reports at an entry.
	Listener struct {
		conn   net.PacketConn
		agents func() []netip.AddrPort
		wishes Wishes
		take   func(placements.Report)
		logger *zap.Logger
	}

	// Reporter sends the reports of an agent. It is safe for concurrent use.
	Reporter struct {
		conn        net.PacketConn
		hear        func(directives.Announcement) (lacksFigures bool)
		logger      *zap.Logger
		mutex       sync.Mutex
		subscribers map[netip.AddrPort]time.Time
		unread      map[sender]unread
		last        placements.Report
		lastSent    time.Time
	}
)

// NewListener returns a listener that subscribes at the agents, tells them the
// news and hands their reports to take.
func NewListener(conn net.PacketConn, agents func() []netip.AddrPort, wishes Wishes, take func(placements.Report), logger *zap.Logger) *Listener {
	return &Listener{conn: conn, agents: agents, wishes: wishes, take: take, logger: logger}
}

// Run receives until the context ends.
func (listener *Listener) Run(ctx context.Context) {
	go listener.subscribe(ctx)
	receive(ctx, listener.conn, listener.logger, listener.handle)
}

func (listener *Listener) handle(got message, from netip.AddrPort) {
	if got.Ask {
		figures := listener.wishes.FullAnnouncement()
		send(listener.conn, from, message{News: &figures}, listener.logger)
	}
	if got.Report != nil {
		listener.take(placements.Report{
			Server: got.Report.Server, Born: got.Report.Born, Running: got.Report.Running,
			Queued: got.Report.Queued, Pending: got.Report.Pending, Closed: got.Report.Closed, Versions: got.Report.Versions,
		})
	}
}

// Sent tells an agent that a request with so many prompt tokens was sent to its
// server.
func (listener *Listener) Sent(agent netip.AddrPort, number uint64, tokens int) {
	send(listener.conn, agent, message{Request: &request{Number: number, Tokens: tokens}}, listener.logger)
}

// Answered tells an agent that its server began to answer a request, or never will.
func (listener *Listener) Answered(agent netip.AddrPort, number uint64) {
	send(listener.conn, agent, message{Request: &request{Number: number}}, listener.logger)
}

// Announce tells all agents the news at once. Each subscription repeats them.
func (listener *Listener) Announce() {
	for _, agent := range listener.agents() {
		listener.greet(agent)
	}
}

func (listener *Listener) greet(agent netip.AddrPort) {
	news := listener.wishes.Announcement()
	send(listener.conn, agent, message{Subscribe: true, News: &news}, listener.logger)
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
			listener.greet(agent)
		}
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
		}
	}
}

// NewReporter returns a reporter without subscribers that hands the news of the
// entries to hear, and asks an entry for the figures where hear lacks them.
func NewReporter(conn net.PacketConn, hear func(directives.Announcement) (lacksFigures bool), logger *zap.Logger) *Reporter {
	return &Reporter{conn: conn, hear: hear, logger: logger, subscribers: map[netip.AddrPort]time.Time{}, unread: map[sender]unread{}}
}

// Run takes subscriptions until the context ends.
func (reporter *Reporter) Run(ctx context.Context) {
	receive(ctx, reporter.conn, reporter.logger, reporter.handle)
}

func (reporter *Reporter) handle(got message, from netip.AddrPort) {
	if got.Request != nil {
		reporter.note(from, *got.Request)
	}
	if got.News != nil && reporter.hear(*got.News) {
		send(reporter.conn, from, message{Ask: true}, reporter.logger)
	}
	if got.Subscribe {
		reporter.subscribe(from)
	}
}

// subscribe takes a subscription, and sends the last report to a new subscriber.
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

// note keeps the prompts that the engine has to read.
func (reporter *Reporter) note(from netip.AddrPort, got request) {
	reporter.mutex.Lock()
	defer reporter.mutex.Unlock()
	key := sender{entry: from, number: got.Number}
	if got.Tokens <= 0 {
		delete(reporter.unread, key)
		return
	}
	if len(reporter.unread) < mostUnread {
		reporter.unread[key] = unread{tokens: got.Tokens, until: time.Now().Add(unreadLifetime)}
	}
}

// pending returns the prompt tokens that the engine has to read. The caller holds
// the mutex.
func (reporter *Reporter) pending(now time.Time) int {
	sum := 0
	for key, each := range reporter.unread {
		if now.After(each.until) {
			delete(reporter.unread, key)
			continue
		}
		sum += each.tokens
	}
	return sum
}

// Report sends the report to all subscribers if it differs from the last one or
// the last one is old.
func (reporter *Reporter) Report(next placements.Report) {
	now := time.Now()
	reporter.mutex.Lock()
	next.Pending = reporter.pending(now)
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
	return left.Server == right.Server && left.Born == right.Born && left.Running == right.Running &&
		left.Queued == right.Queued && left.Pending == right.Pending && left.Closed == right.Closed && maps.Equal(left.Versions, right.Versions)
}

func (reporter *Reporter) sendTo(entries []netip.AddrPort, next placements.Report) {
	wire := message{Report: &report{
		Server: next.Server, Born: next.Born, Running: next.Running,
		Queued: next.Queued, Pending: next.Pending, Closed: next.Closed, Versions: next.Versions,
	}}
	for _, entry := range entries {
		send(reporter.conn, entry, wire, reporter.logger)
	}
}

func send(conn net.PacketConn, to netip.AddrPort, wire message, logger *zap.Logger) {
	encoded, err := json.Marshal(wire)
	if err != nil {
		logger.Error("load report not encoded", zap.Error(err))
		return
	}
	if _, err := conn.WriteTo(encoded, net.UDPAddrFromAddrPort(to)); err != nil {
		logger.Debug("load datagram not sent", zap.Stringer("to", to), zap.Error(err))
	}
}

func decode(datagram []byte) (message, error) {
	var got message
	err := json.Unmarshal(datagram, &got)
	return got, err
}

func receive(ctx context.Context, conn net.PacketConn, logger *zap.Logger, handle func(message, netip.AddrPort)) {
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	buffer := make([]byte, datagramBytes)
	for {
		count, from, err := conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			logger.Debug("load datagram not received", zap.Error(err))
			continue
		}
		got, err := decode(buffer[:count])
		if err != nil {
			logger.Debug("load datagram not decoded", zap.Error(err))
			continue
		}
		address := from.(*net.UDPAddr).AddrPort()
		handle(got, netip.AddrPortFrom(address.Addr().Unmap(), address.Port()))
	}
}

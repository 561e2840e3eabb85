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
	"errors"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"firford/lib/directives"
	"firford/lib/placements"
	"firford/lib/waits"
)

const (
	// maxDatagramBytes has room for the parameters of some dozen kinds of engines.
	maxDatagramBytes = 8192
	// receiveRetryPause is the pause after an error of the socket, which may last.
	receiveRetryPause = 5 * time.Millisecond
	// maxLimits bounds the limits in a datagram to a quarter of its size, and maxLeaving
	// the servers that leave.
	maxLimits  = 48
	maxLeaving = 40
	maxAgeMS   = 1 << 31
)

type (
	// message is the only kind of datagram. Entries set Subscribe, Demand, which are the
	// requests a second for the agent's service if its servers state their pace, Announcement,
	// Request, Limits and Leaving, which they have heard from servers, Crashes, NeedsStatements, which
	// requests all current statements and crashes, and NeedsCrashes, which requests the
	// crashes for which traits are quarantined. Agents set Report, Crashes where
	// they are requested, NeedsServices, which requests an announcement with the
	// parameters of the engines and origins, and Ages and Evacuations, which are what the
	// entry's announcement lacked of versions and evacuations.
	message struct {
		Subscribe       bool                        `json:"subscribe,omitempty"`
		Demand          *int                        `json:"demand,omitempty"`
		Announcement    *directives.Announcement    `json:"news,omitempty"`
		NeedsServices   bool                        `json:"ask,omitempty"`
		Ages            directives.VersionAges      `json:"ages,omitempty"`
		Evacuations     *directives.EvacuationState `json:"evacuations,omitempty"`
		Request         *request                    `json:"request,omitempty"`
		Limits          map[string]limit            `json:"limits,omitempty"`
		Crashes         *crashes                    `json:"crashes,omitempty"`
		NeedsCrashes    bool                        `json:"ask_crashes,omitempty"`
		NeedsStatements bool                        `json:"ask_statements,omitempty"`
		Leaving         map[string]leaving          `json:"leaving,omitempty"`
		Report          *report                     `json:"report,omitempty"`
	}

	// request reports the progress of a request of an entry. Tokens is zero once its
	// prompt needs no more reading. Pace is what the server stated in its answer, in percent.
	request struct {
		Number uint64 `json:"number"`
		Tokens int    `json:"tokens,omitempty"`
		Pace   int    `json:"pace,omitempty"`
	}

	// limit is a placements.LimitStatement in a datagram. It has an age instead of a time,
	// since the clocks of two hosts differ.
	limit struct {
		PerS  float64 `json:"per_s"`
		AgeMS int64   `json:"age_ms"`
	}

	// leaving is a placements.LeavingStatement in a datagram.
	leaving struct {
		AgeMS int64 `json:"age_ms"`
		Born  int64 `json:"born,omitempty"`
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
		// Number counts the agent's reports. Entries is how many entries it reports to, and
		// Position the place of the addressed one among them.
		Number   int `json:"number,omitempty"`
		Entries  int `json:"entries,omitempty"`
		Position int `json:"position,omitempty"`
		// Share holds the edges of the addressed entry's part of the free slots, in
		// thousandths. Pace is the newest pace that the server stated, in percent.
		Share     *[2]int            `json:"share,omitempty"`
		Pace      int                `json:"pace,omitempty"`
		PaceAgeMS int64              `json:"pace_ms,omitempty"`
		Limits    map[string]limit   `json:"limits,omitempty"`
		Leaving   map[string]leaving `json:"leaving,omitempty"`
		Crashes   *crashes           `json:"crashes,omitempty"`
	}
)

// encodeLimits returns the statements with their ages, at most maxLimits of them.
func encodeLimits(statements map[string]placements.LimitStatement, now time.Time) map[string]limit {
	limits := map[string]limit{}
	for server, statement := range statements {
		if len(limits) == maxLimits {
			break
		}
		limits[server] = limit{PerS: statement.PerS, AgeMS: now.Sub(statement.HeardAt).Milliseconds()}
	}
	return limits
}

// decodeLimits returns the statements that are still current.
func decodeLimits(limits map[string]limit, now time.Time) map[string]placements.LimitStatement {
	if len(limits) == 0 {
		return nil
	}
	statements := map[string]placements.LimitStatement{}
	for server, each := range limits {
		statement := placements.LimitStatement{PerS: max(each.PerS, 0), HeardAt: timeOfAge(each.AgeMS, now)}
		if statement.IsCurrent(now) {
			statements[server] = statement
		}
	}
	return statements
}

// encodeLeaving returns the statements with their ages, at most maxLeaving of them.
func encodeLeaving(statements map[string]placements.LeavingStatement, now time.Time) map[string]leaving {
	encoded := map[string]leaving{}
	for server, statement := range statements {
		if len(encoded) == maxLeaving {
			break
		}
		encoded[server] = leaving{AgeMS: now.Sub(statement.HeardAt).Milliseconds(), Born: statement.StartedUnixMilli}
	}
	return encoded
}

// decodeLeaving returns the statements that are still passed on.
func decodeLeaving(encoded map[string]leaving, now time.Time) map[string]placements.LeavingStatement {
	if len(encoded) == 0 {
		return nil
	}
	statements := map[string]placements.LeavingStatement{}
	for server, each := range encoded {
		statement := placements.LeavingStatement{HeardAt: timeOfAge(each.AgeMS, now), StartedUnixMilli: max(each.Born, 0)}
		if statement.IsCurrent(now) {
			statements[server] = statement
		}
	}
	return statements
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

// receive passes on the datagrams that arrive until the context ends or the socket is closed.
func receive(ctx context.Context, conn net.PacketConn, logger *zap.Logger, handle func(message, netip.AddrPort)) {
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, from, err := conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			logger.Debug("load datagram not received", zap.Error(err))
			waits.Sleep(ctx, receiveRetryPause)
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

package gateways

// This file holds the HTTP server for callers. It reads a request, finds its route
// and deadline, and then forwards it to backend servers.

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"firford/lib/budgets"
	"firford/lib/demands"
	"firford/lib/listeners"
	"firford/lib/placements"
	"firford/lib/quarantines"
	"firford/lib/routes"
)

const (
	// headerTimeout bounds how long a caller may take to send a request's headers.
	headerTimeout = 10 * time.Second
	// idleTimeout exceeds the longest time for which callers keep idle connections,
	// so that callers close them and not the gateway.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 64 << 10
	// answerMargin is how long after the deadline the gateway still waits, so that a
	// server can answer at the deadline itself.
	answerMargin = 40 * time.Millisecond
	// defaultTimeout is used if the route configures no timeout.
	defaultTimeout = 30 * time.Second
	// unconfiguredRetryAfter is the delay after which callers should retry at a
	// gateway that has no configuration yet.
	unconfiguredRetryAfter = 300 * time.Millisecond
)

type (
	// Dependencies are what a gateway needs. VersionDeadline returns until when a
	// version of a model may begin requests, or false if it has no such limit.
	// ServersConfirmedAt returns when the list of servers was last known to be current.
	// ShareCrash passes a crash of a server on to the other entries. Callers bounds what
	// callers make the process hold.
	Dependencies struct {
		Callers            *budgets.Budget
		Dialect            Dialect
		Queue              *AdmissionQueue
		Quarantines        *quarantines.Ledger
		ShareCrash         func(placements.Server, quarantines.Crash)
		Table              func() routes.Table
		VersionDeadline    func(model string, version int) (time.Time, bool)
		ServersConfirmedAt func() time.Time
		Logger             *zap.Logger
		Scope              tally.Scope
	}

	// Gateway is an HTTP server that forwards the requests of callers to backend
	// servers. It is safe for concurrent use.
	Gateway struct {
		Dependencies
		pool           *pool
		callerTimeouts *callerTimeouts
		metrics        gatewayMetrics
		sampler        *sampler
		unreadableLog  rate.Sometimes
		draining       atomic.Bool
		inFlight       atomic.Int64
		server         *http.Server
		listener       atomic.Pointer[callerListener]
		callerConns    *callerConns
		versionChanges versionChanges
		// refuseFrom is the Unix time in nanoseconds from which a gateway that stops refuses
		// requests, zero before.
		refuseFrom atomic.Int64
		// ending ends when the process is about to end, by endRequests.
		ending      context.Context
		endRequests context.CancelCauseFunc
	}
)

// callerConnKey is the context key of the caller's connection.
type callerConnKey struct{}

// callerConnOf returns the connection on which the request was received.
func callerConnOf(received *http.Request) *callerConn {
	return received.Context().Value(callerConnKey{}).(*callerConn)
}

// callerDisconnected reports whether the caller has closed its connection. The
// context of the request reports this too, but a moment later: a machine that was
// frozen reads a request and the close that follows it at the same time.
func (request *request) callerDisconnected() bool {
	if request.received.Context().Err() != nil {
		return true
	}
	conn, isCaller := request.received.Context().Value(callerConnKey{}).(net.Conn)
	return isCaller && isClosedByPeer(conn)
}

// resetOnClose makes the connection of a caller of HTTP/1.0 end with a reset, or with an
// ordinary close again. Its answers end with their connections, so that only a reset shows
// that one has broken off.
func (request *request) resetOnClose(isReset bool) {
	if request.received.ProtoAtLeast(1, 1) {
		return
	}
	lingerSeconds := -1
	if isReset {
		lingerSeconds = 0
	}
	_ = callerConnOf(request.received).tcp.SetLinger(lingerSeconds) // Fails only on a closed connection.
}

// New returns a gateway that has not started to serve yet.
func New(dependencies Dependencies) *Gateway {
	gateway := &Gateway{Dependencies: dependencies, pool: newPool(), callerTimeouts: newCallerTimeouts(), metrics: newGatewayMetrics(dependencies.Scope), sampler: newSampler(), unreadableLog: rate.Sometimes{Interval: unreadableLogInterval}, callerConns: &callerConns{open: map[net.Conn]connState{}}}
	gateway.ending, gateway.endRequests = context.WithCancelCause(context.Background())
	gateway.server = &http.Server{
		Handler:           gateway,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         gateway.callerConns.setState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, callerConnKey{}, conn)
		},
		ErrorLog: zap.NewStdLog(dependencies.Logger.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	return gateway
}

// Serve answers requests on the TCP listener until Shutdown is called, which closes the
// listener. It returns nil after Shutdown.
func (gateway *Gateway) Serve(listener *listeners.Listener) error {
	if _, isTCP := listener.Listener.(*net.TCPListener); !isTCP {
		return fmt.Errorf("listen for callers on %T: not TCP", listener.Listener)
	}
	callers := &callerListener{Listener: listener, budget: gateway.Callers, stopped: make(chan struct{})}
	gateway.listener.Store(callers)
	err := gateway.server.Serve(callers)
	if errors.Is(err, http.ErrServerClosed) || callers.acceptUntil.Load() != 0 {
		return nil
	}
	return err
}

// IsAccepting reports whether the gateway has accepted all connections of callers of late. It
// has not while the process is short of descriptors or memory, or takes none since callers
// hold too much.
func (gateway *Gateway) IsAccepting(now time.Time) bool {
	listener := gateway.listener.Load()
	return listener == nil || !listener.IsShort(now) && !gateway.Callers.TakesNone(now)
}

// BeginDrain makes the gateway close each connection after its next answer, so
// that callers open new connections, which can reach another gateway. From now on it sends
// a request to a server only if its answer is expected before endsAt, and refuses the others.
func (gateway *Gateway) BeginDrain(endsAt time.Time) {
	gateway.draining.Store(true)
	gateway.Queue.stop(endsAt)
}

// InFlight returns the number of requests that are being served.
func (gateway *Gateway) InFlight() int64 { return gateway.inFlight.Load() }

// PruneConnections closes the idle connections to all servers that are not in
// known, which holds server ids.
func (gateway *Gateway) PruneConnections(known map[string]bool) { gateway.pool.closeUnknown(known) }

// ServeHTTP implements http.Handler.
func (gateway *Gateway) ServeHTTP(writer http.ResponseWriter, received *http.Request) {
	gateway.metrics.inFlight.Update(float64(gateway.inFlight.Add(1)))
	defer func() { gateway.metrics.inFlight.Update(float64(gateway.inFlight.Add(-1))) }()
	if gateway.draining.Load() {
		writer.Header().Set("Connection", "close")
	}
	now := time.Now()
	request := &request{
		gateway:         gateway,
		writer:          writer,
		received:        received,
		info:            gateway.Dialect.ParseRequest(received.Header, now),
		arrivedAt:       now,
		lastDeliveredAt: now,
		account:         callerConnOf(received).Account(),
	}
	defer request.freeBuffers()
	if request.takeHead() != nil {
		request.refuseCrowded()
		return
	}
	request.serve()
}

// request is the state of one caller's request in the gateway. It is used by a
// single goroutine.
type request struct {
	gateway  *Gateway
	writer   http.ResponseWriter
	received *http.Request
	info     RequestInfo
	match    routes.Match
	service  string
	// configuration is the version of the configuration that applies to the request.
	configuration int64
	body          []byte
	arrivedAt     time.Time
	deadline      time.Time
	// firstArrivedAt is when the caller first sent the request, estimated from the time
	// that it has left: a caller that retries after a refusal has less time left.
	firstArrivedAt time.Time
	// lastDeliveredAt is when the caller last received an event. Before the first
	// event it is when the request arrived.
	lastDeliveredAt time.Time
	// triedServers holds the ids of the servers that were reserved for the request.
	// sentCount counts those to which the request was sent and that are done with it.
	triedServers []string
	sentCount    int
	// connectFailures counts the servers that could not be reached, and misdirections
	// those whose address another server had.
	connectFailures, misdirections int
	// traits are what other requests may have in common with this one. They are set with
	// identity, its fingerprint, once its body was read.
	traits   []quarantines.Trait
	identity quarantines.Fingerprint
	// isProbe is set for a request with a quarantined trait that may be sent to a server.
	isProbe bool
	// mayHaveRun is set as soon as a server may have run the request. errorAnswer is the
	// last answer of a server that ran it and failed, nil if there is none.
	mayHaveRun  bool
	errorAnswer *bufferedAnswer
	// placedAt is when the request got its last reservation, answerBeganAt when the
	// last answer began, and predictedDelay the predicted time between the two.
	placedAt, answerBeganAt time.Time
	predictedDelay          time.Duration
	// waited is how long the request was in the queue, over all its reservations.
	waited time.Duration
	// streamBeganAt is when the caller's stream began, zero without a stream.
	streamBeganAt time.Time
	// placedVersion is the version of the request's model at the server of that reservation.
	placedVersion int
	// usesUnlistedServer is set if the request got a reservation at a server that is
	// missing from the platform's list.
	usesUnlistedServer bool
	// refusal states why the request got no reservation, nil if it was never refused.
	refusal *refusal
	// streaming is set once the head of a streamed answer was sent to the caller.
	// lastEventID is the id of the last event that the caller received. positionLost is set
	// if that event has no id, after which no server can know where to go on.
	streaming    bool
	lastEventID  string
	positionLost bool
	// buffers holds the memory of the bodies that were passed on to the request.
	buffers []*buffers
	// account is what the caller's connection makes the process hold.
	account *budgets.Account
}

func (request *request) serve() {
	table := request.gateway.Table()
	request.configuration = table.Version()
	if table.Version() == 0 {
		request.refuse(reasonNoConfiguration, unconfiguredRetryAfter)
		return
	}
	if request.gateway.isStopped(request.arrivedAt) {
		request.refuse(reasonStopping, placements.StoppingRetryAfter)
		return
	}
	match, err := request.matchIn(table)
	if err != nil {
		request.answerRoutingError(err)
		return
	}
	request.match = match
	request.service = match.Route.PickService(rand.Float64())
	request.deadline = request.answerDeadline()
	request.firstArrivedAt = request.arrivedAt.Add(-request.gateway.callerTimeouts.elapsed(match.Route.Name, request.info.Timeout))
	if !time.Now().Before(request.deadline) {
		request.refuse(reasonDeadline, refusedRetryAfter)
		return
	}
	if !request.readBody(table.Limits().BodyBytes) {
		return
	}
	ctx, cancel := request.context()
	defer cancel()
	request.gateway.Queue.countRequest(request.service, request.demand())
	request.countRanked(rankedArrived)
	request.identity = request.fingerprint()
	request.traits = append(quarantines.Parts(request.info.SharedParts...), request.identity)
	request.gateway.Quarantines.CountRequest(request.traits)
	if verdict := request.checkQuarantine(); verdict.IsRefused() {
		request.refuse(quarantineReason(verdict.Trait), time.Until(verdict.RetryAt))
		return
	}
	request.forwardWithRetries(ctx)
}

// context returns a context that ends answerMargin after the deadline of the request, when
// its caller leaves, or when the process is about to end.
func (request *request) context() (context.Context, func()) {
	ctx, cancel := context.WithDeadline(request.received.Context(), request.deadline.Add(answerMargin))
	ctx, end := context.WithCancelCause(ctx)
	detach := context.AfterFunc(request.gateway.ending, func() { end(context.Cause(request.gateway.ending)) })
	return ctx, func() { detach(); end(nil); cancel() }
}

// answerDeadline returns by when the request must be answered: the caller's
// deadline or the end of the route's timeout, whichever comes first.
func (request *request) answerDeadline() time.Time {
	timeout := request.match.Route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	deadline := request.arrivedAt.Add(timeout)
	if !request.info.Deadline.IsZero() && request.info.Deadline.Before(deadline) {
		return request.info.Deadline
	}
	return deadline
}

// countRanked counts an event by the rank of the request's route.
func (request *request) countRanked(event string) {
	request.gateway.metrics.countRanked(event, request.match.Route.Priority)
}

// kind returns the kind of the request. Requests for plain services have none.
func (request *request) kind() demands.Kind {
	if request.info.Model == "" {
		return demands.Kind{}
	}
	route := request.match.Route
	return demands.Kind{Route: route.Name, Rank: route.Priority, Target: request.target()}
}

// demand describes the request to the demand for its service.
func (request *request) demand() demands.Request {
	return demands.Request{Kind: request.kind(), Rank: request.match.Rank(), Organisation: request.match.Organisation.Name, Tokens: request.info.PromptTokens}
}

// waiter describes the request to the admission queue.
func (request *request) waiter() placements.Waiter {
	startBy, late := request.placementDeadline()
	requirements := placements.Requirements{
		Service: request.service, Route: request.match.Route.Name, Target: request.target(), Model: request.info.Model, Tried: request.triedServers, Tokens: request.info.PromptTokens,
		FirstEventBy: request.firstArrivedAt.Add(request.target()), Late: late,
		Kind: request.kind(), Rank: request.match.Rank(), Organisation: request.match.Organisation.Name, Regions: request.homeRegions(),
	}
	if request.streaming {
		requirements.FirstEventBy = startBy
		requirements.Resumed = true
	}
	return placements.Waiter{Rank: request.match.Rank(), Late: late, StartBy: startBy, Requirements: requirements}
}

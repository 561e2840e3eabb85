package gateways

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"firford/lib/placements"
	"firford/lib/routes"
)

const (
	// headerTimeout bounds how long a caller may take to send the head of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout is above the longest time that callers keep an idle connection,
	// so that the callers and not the gateway close it.
	idleTimeout = 2 * time.Minute
	// headerBytes bounds the head of a request.
	headerBytes = 64 << 10
	// mostAnswerBytes bounds an answer that is kept until it is whole.
	mostAnswerBytes = 16 << 20
	// answerMargin is left to a server's own answer at the deadline.
	answerMargin = 40 * time.Millisecond
	// defaultTimeout is used where neither the caller nor the route names one.
	defaultTimeout = 30 * time.Second
	// unreadyRetryAfter is when callers come back to a gateway without configuration.
	unreadyRetryAfter = 300 * time.Millisecond
)

type (
	// Dependencies are what a gateway needs. MinVersion returns the oldest version of
	// a model that may still begin a request, VersionDeadline until when a version may.
	Dependencies struct {
		Dialect         Dialect
		Queue           *AdmissionQueue
		Table           func() routes.Table
		MinVersion      func(model string, now time.Time) int
		VersionDeadline func(model string, version int) (time.Time, bool)
		Logger          *zap.Logger
		Scope           tally.Scope
	}

	// Gateway answers callers.
	Gateway struct {
		Dependencies
		pool     *pool
		budgets  *budgets
		counters counters
		sampler  *rate.Limiter
		leaving  atomic.Bool
		running  atomic.Int64
		server   *http.Server
	}
)

// callerKey finds the caller's connection in the context of a request.
type callerKey struct{}

// hasLeft reports whether the caller has closed its connection. The context of
// the request tells it too, but a moment later: a machine that stood still reads
// a request and the close behind it at once.
func (request *request) hasLeft() bool {
	if request.received.Context().Err() != nil {
		return true
	}
	conn, found := request.received.Context().Value(callerKey{}).(net.Conn)
	return found && isClosedByPeer(conn)
}

// New returns a gateway.
func New(given Dependencies) *Gateway {
	gateway := &Gateway{Dependencies: given, pool: newPool(), budgets: newBudgets(), counters: newCounters(given.Scope), sampler: newSampler()}
	gateway.server = &http.Server{
		Handler:           gateway,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, callerKey{}, conn)
		},
		ErrorLog: zap.NewStdLog(given.Logger.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	return gateway
}

// Serve answers on the listener until Shutdown.
func (gateway *Gateway) Serve(listener net.Listener) error {
	if err := gateway.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// BeginDrain makes every answer from now on end its connection, so that callers
// come back on another one.
func (gateway *Gateway) BeginDrain() { gateway.leaving.Store(true) }

// InFlight returns how many requests are being answered.
func (gateway *Gateway) InFlight() int64 { return gateway.running.Load() }

// Shutdown stops to listen and waits until the running requests have ended.
func (gateway *Gateway) Shutdown(ctx context.Context) error { return gateway.server.Shutdown(ctx) }

// PruneConnections closes idle connections to all servers but the known ones.
func (gateway *Gateway) PruneConnections(known map[string]bool) { gateway.pool.keep(known) }

// ServeHTTP implements http.Handler.
func (gateway *Gateway) ServeHTTP(writer http.ResponseWriter, received *http.Request) {
	gateway.counters.running.Update(float64(gateway.running.Add(1)))
	defer func() { gateway.counters.running.Update(float64(gateway.running.Add(-1))) }()
	if gateway.leaving.Load() {
		writer.Header().Set("Connection", "close")
	}
	now := time.Now()
	request := &request{
		gateway:  gateway,
		writer:   writer,
		received: received,
		call:     gateway.Dialect.ParseRequest(received.Header, now),
		arrived:  now,
		heard:    now,
	}
	request.serve()
}

// request is one request of a caller on its way through the gateway.
type request struct {
	gateway  *Gateway
	writer   http.ResponseWriter
	received *http.Request
	call     RequestInfo
	match    routes.Match
	service  string
	// configuration is the version by which the request is judged.
	configuration int64
	body          []byte
	arrived       time.Time
	deadline      time.Time
	// asked is when the caller first asked, as far as its time left tells: a caller
	// that comes back after a refusal has less of it.
	asked time.Time
	// heard is when the caller last got an event, its arrival before the first one.
	heard time.Time
	// tried names the servers that got the request; sent counts them.
	tried []string
	sent  int
	// mayHaveRun is set once a server may have run the request.
	mayHaveRun bool
	// placed is when the last place was found, first when the last answer began, and
	// predicted how long after its place that should have been.
	placed, first time.Time
	predicted     time.Duration
	// refusal is what kept the request from the servers, nil if it got a place.
	refusal *refusal
	// streaming is set once the head of an answer was passed on; lastEvent is the
	// last event that the caller got.
	streaming bool
	lastEvent string
}

func (request *request) serve() {
	table := request.gateway.Table()
	request.configuration = table.Version()
	if table.Version() == 0 {
		request.refuse(reasonNoConfiguration, unreadyRetryAfter)
		return
	}
	path, _, _ := strings.Cut(request.received.RequestURI, "?")
	match, err := table.Match(request.received.Host, path, request.call.APIKey)
	if err != nil {
		request.reject(err)
		return
	}
	request.match = match
	request.service = match.Route.PickService(rand.Float64())
	request.deadline = request.latest()
	request.asked = request.arrived.Add(-request.gateway.budgets.spent(match.Route.Name, request.call.Timeout))
	if !request.readBody(table.Limits().BodyBytes) {
		return
	}
	ctx, cancel := context.WithDeadline(request.received.Context(), request.deadline.Add(answerMargin))
	defer cancel()
	request.gateway.Queue.arrive(request.service)
	request.run(ctx)
}

// latest returns when the request must have its answer: by the caller's deadline
// or the route's timeout, whichever comes first.
func (request *request) latest() time.Time {
	timeout := request.match.Route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	end := request.arrived.Add(timeout)
	if !request.call.Deadline.IsZero() && request.call.Deadline.Before(end) {
		return request.call.Deadline
	}
	return end
}

// readBody reads the whole body before anything is sent on, so that a caller
// who breaks off never leaves half a request at a server.
func (request *request) readBody(limit int64) bool {
	control := http.NewResponseController(request.writer)
	_ = control.SetReadDeadline(request.deadline) // Fails only on writers that have no connection.
	body, err := io.ReadAll(http.MaxBytesReader(request.writer, request.received.Body, limit))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			request.answer(http.StatusRequestEntityTooLarge, reasonTooLarge, 0)
			return false
		}
		request.end(0, reasonUnread, zap.Error(err))
		panic(http.ErrAbortHandler)
	}
	_ = control.SetReadDeadline(time.Time{})
	request.body = body
	return true
}

// waiter returns the request as one that waits for a place.
func (request *request) waiter() placements.Waiter {
	startBy, late := request.startBy()
	need := placements.Requirements{
		Service: request.service, Tried: request.tried, Tokens: request.call.PromptTokens,
		FirstEventBy: request.asked.Add(request.target()), Late: late,
	}
	if request.call.Model != "" {
		need.Model = request.call.Model
		need.MinVersion = request.gateway.MinVersion(need.Model, time.Now())
	}
	if request.streaming {
		need.FirstEventBy = startBy
		need.Resumed = true
	}
	return placements.Waiter{Priority: request.match.Priority(), Late: late, StartBy: startBy, Requirements: need}
}

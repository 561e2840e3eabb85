package requests

// The caller HTTP API. A request is validated completely before anything of it
// leaves the entry, so that a rejected request has certainly not run. fasthttp
// is used instead of net/http because it serves requests without an allocation
// for each header.

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"firford/lib/budgets"
	"firford/lib/configurations"
	"firford/lib/logs"
	"firford/lib/platform"
)

const (
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes = 1 << 20

	// prefetchedBytes is how much of a body may be read before its budget is asked.
	prefetchedBytes  = 8 << 10
	maxHeaderBytes   = 16 << 10
	maxInProgress    = 16384
	readTimeout      = 30 * time.Second
	idleTimeout      = 2 * time.Minute
	lookupTimeout    = 2 * time.Second
	pathDeployments  = "/v1/deployments/"
	pathRequests     = "/v1/requests/"
	suffixRequests   = "/requests"
	headerRequestID  = "Request-Id"
	headerRetryAfter = "Retry-After"
)

type (
	// Dependencies are the components that an APIServer uses. CountLiveEntries
	// returns the number of live entries, by which organisations' limits are
	// divided. Callers bounds what callers make the process hold. TLS is nil without TLS.
	// Observer may be nil.
	Dependencies struct {
		Callers          *budgets.Budget
		TLS              *tls.Config
		Source           configurations.Source
		Dispatcher       *Dispatcher
		CountLiveEntries func() int
		Observer         Observer
		Scope            tally.Scope
		Logger           *zap.Logger
	}

	// Observer receives the outcome of each request. Observe must not block.
	Observer interface {
		Observe(observation Observation)
	}

	// Observation describes one request as its caller saw it. FirstPart is zero
	// if no part was passed on. Outcome is one of the Outcome constants and
	// Code the code of a refusal or an unknown outcome.
	Observation struct {
		Organisation string
		Deployment   string
		Outcome      string
		Code         string
		Parts        int
		Started      time.Time
		FirstPart    time.Time
		Ended        time.Time
		Deadline     time.Time
	}

	// APIServer serves the caller HTTP API.
	APIServer struct {
		dependencies  Dependencies
		limits        *limits
		liveEntries   *liveEntryCount
		organisations *organisationIndex
		inProgress    atomic.Int64
		// stopping is set once the server stops.
		stopping atomic.Bool
	}

	refusalBody struct {
		Outcome      string `json:"outcome"`
		Code         string `json:"code"`
		Message      string `json:"message"`
		RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
		Version      string `json:"version,omitempty"`
		Parts        int    `json:"parts,omitempty"`
		Digest       string `json:"digest,omitempty"`
	}

	answerBody struct {
		Outcome string `json:"outcome"`
		Parts   int    `json:"parts,omitempty"`
		Digest  string `json:"digest,omitempty"`
		Version string `json:"version,omitempty"`
	}
)

// NewAPIServer returns a server for the caller HTTP API.
func NewAPIServer(dependencies Dependencies) *APIServer {
	return &APIServer{
		dependencies: dependencies, limits: newLimits(), organisations: &organisationIndex{},
		liveEntries: &liveEntryCount{query: dependencies.CountLiveEntries},
	}
}

// Serve answers callers on the listener. When the context ends or the listener fails, it
// closes connections by their next answer, stops accepting them once those that are open
// are quiet, and returns once the requests in progress have ended.
func (server *APIServer) Serve(ctx context.Context, listener net.Listener) error {
	conns := &callerConns{idleSince: map[net.Conn]time.Time{}}
	httpServer := &fasthttp.Server{
		Handler:                      server.handle,
		ConnState:                    conns.setState,
		ErrorHandler:                 server.refuseUnreadable,
		Name:                         "firford",
		StreamRequestBody:            true,
		MaxRequestBodySize:           prefetchedBytes,
		DisablePreParseMultipartForm: true,
		ReduceMemoryUsage:            true,
		ReadBufferSize:               maxHeaderBytes,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		CloseOnShutdown:              true,
		NoDefaultServerHeader:        true,
		SecureErrorLogMessage:        true,
		Logger:                       discardLogger{},
	}
	ctx, endServing := context.WithCancel(ctx)
	defer endServing()
	stopped := make(chan error, 1)
	go func() {
		<-ctx.Done()
		server.stopping.Store(true)
		conns.awaitQuiet(time.Now())
		stopped <- httpServer.Shutdown()
	}()
	err := httpServer.Serve(lingeringListener{Listener: budgets.NewListener(listener, server.dependencies.Callers, budgets.Options{TLS: server.dependencies.TLS})})
	endServing() // Also without its listener, the server answers the requests in progress.
	stopErr := <-stopped
	if err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	return stopErr
}

// InProgress returns the number of requests that have not ended.
func (server *APIServer) InProgress() int {
	return int(server.inProgress.Load())
}

// refuseUnreadable answers a request that fasthttp could not read.
func (server *APIServer) refuseUnreadable(ctx *fasthttp.RequestCtx, _ error) {
	if connOf(ctx).IsRefused() {
		server.refuseCrowded(ctx)
		return
	}
	server.writeRefusal(ctx, fasthttp.StatusBadRequest, NotRun{Code: CodeMalformed, Message: "the request could not be read"})
}

func (server *APIServer) handle(ctx *fasthttp.RequestCtx) {
	if server.stopping.Load() {
		ctx.SetConnectionClose()
	}
	account := connOf(ctx).Account()
	if account.Enter(budgets.Serving) != nil || takeHead(ctx) != nil {
		server.refuseCrowded(ctx)
		return
	}
	validated, rejected := server.validate(ctx, time.Now())
	if (rejected != nil || validated.isLookup) && ctx.Request.Header.ContentLength() == chunked {
		// fasthttp would read what is left of the body, and its trailer, in no account.
		ctx.SetConnectionClose()
	}
	if rejected != nil {
		server.writeRefusal(ctx, rejected.status, rejected.refusal)
		return
	}
	if validated.isLookup {
		server.lookUpKey(ctx, validated)
		return
	}
	if server.inProgress.Add(1) > maxInProgress {
		server.inProgress.Add(-1)
		server.writeRefusal(ctx, fasthttp.StatusServiceUnavailable, NotRun{
			Code: CodeOverloaded, Message: "the entry has too many requests in progress", RetryAt: time.Now().Add(defaultRetryAfter),
		})
		return
	}
	now := time.Now()
	release, refusal := server.limits.admit(validated.organisation, server.liveEntries.get(now), now)
	if refusal != nil {
		server.inProgress.Add(-1)
		server.writeRefusal(ctx, fasthttp.StatusTooManyRequests, *refusal)
		return
	}
	server.runRequest(ctx, validated, func() {
		release()
		server.inProgress.Add(-1)
	})
}

// runRequest starts the request and answers with its first event: a part starts
// a streamed answer, an outcome is the whole answer.
func (server *APIServer) runRequest(ctx *fasthttp.RequestCtx, validated validatedRequest, release func()) {
	ctx.Response.Header.Set(headerRequestID, validated.incoming.Request.RequestID)
	answer := newAnswerStream(connOf(ctx).Account())
	// The context of fasthttp ends at shutdown, which must not cancel requests.
	runCtx, cancel := context.WithCancel(context.Background())
	started := time.Now()
	go func() {
		defer cancel()
		outcome := server.dependencies.Dispatcher.Dispatch(runCtx, validated.incoming, answer.push)
		release()
		answer.finish(outcome)
		server.observe(validated, answer, outcome, started)
	}()
	if !answer.awaitFirstEvent() {
		server.writeOutcome(ctx, answer.outcome())
		return
	}
	ctx.SetContentType("application/x-ndjson")
	cancelOnClose := cancel
	if !validated.incoming.Request.Idempotent {
		// The caller may repeat the key and collect the answer.
		cancelOnClose = func() {}
	}
	ctx.SetBodyStreamWriter(answer.writer(cancelOnClose))
}

func (server *APIServer) observe(validated validatedRequest, answer *answerStream, outcome Outcome, started time.Time) {
	name, code := outcomeAndCode(outcome)
	server.dependencies.Scope.Tagged(map[string]string{
		"deployment": validated.incoming.Request.Deployment, "organisation": validated.organisation.Name, "outcome": name,
	}).Counter("requests").Inc(1)
	if server.dependencies.Observer == nil {
		return
	}
	first, parts := answer.partStats()
	server.dependencies.Observer.Observe(Observation{
		Organisation: validated.organisation.Name, Deployment: validated.incoming.Request.Deployment, Outcome: name, Code: code,
		Parts: parts, Started: started, FirstPart: first, Ended: time.Now(), Deadline: validated.incoming.Request.Deadline,
	})
}

func outcomeAndCode(outcome Outcome) (name, code string) {
	switch ended := outcome.(type) {
	case Answered:
		return OutcomeAnswered, ""
	case NotKept:
		return OutcomeAnswered, CodeAnswerNotKept
	case NotRun:
		return OutcomeNotRun, ended.Code
	case Unknown:
		return OutcomeUnknown, ended.Code
	default:
		return OutcomeUnknown, CodeOutcomeUnknown
	}
}

// writeOutcome writes the outcome of a request that has delivered no parts.
func (server *APIServer) writeOutcome(ctx *fasthttp.RequestCtx, outcome Outcome) {
	switch ended := outcome.(type) {
	case Answered:
		writeAnswer(ctx, newAnswerBody(ended), ended.Body)
	case NotRun:
		server.writeRefusal(ctx, refusalStatus(ended), ended)
	default:
		writeJSON(ctx, failureStatus(outcome), failureBody(outcome))
	}
}

func newAnswerBody(end Answered) answerBody {
	return answerBody{Outcome: OutcomeAnswered, Parts: end.Parts, Digest: end.Digest, Version: end.Version}
}

// refusalStatus returns the HTTP status of a refusal that does not come from
// validation.
func refusalStatus(refusal NotRun) int {
	switch refusal.Code {
	case CodeLimitReached:
		return fasthttp.StatusTooManyRequests
	case CodeKeyReused:
		return fasthttp.StatusConflict
	case CodeMalformed:
		return fasthttp.StatusBadRequest
	case CodeDeadlineExpired:
		return fasthttp.StatusRequestTimeout
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

func failureStatus(outcome Outcome) int {
	if _, notKept := outcome.(NotKept); notKept {
		return fasthttp.StatusGone
	}
	return fasthttp.StatusGatewayTimeout
}

func failureBody(outcome Outcome) refusalBody {
	switch ended := outcome.(type) {
	case NotKept:
		return refusalBody{
			Outcome: OutcomeAnswered, Code: CodeAnswerNotKept, Message: "the request was answered earlier and its answer is no longer kept",
			Version: ended.Answered.Version, Parts: ended.Answered.Parts, Digest: ended.Answered.Digest,
		}
	case NotRun:
		return newRefusalBody(ended, time.Now())
	case Unknown:
		return refusalBody{Outcome: OutcomeUnknown, Code: ended.Code, Message: ended.Message}
	default:
		return refusalBody{Outcome: OutcomeUnknown, Code: CodeOutcomeUnknown, Message: "outcome of an unknown type"}
	}
}

func newRefusalBody(refusal NotRun, now time.Time) refusalBody {
	return refusalBody{
		Outcome: OutcomeNotRun, Code: refusal.Code, Message: refusal.Message,
		RetryAfterMS: retryAfterMS(refusal.RetryAt, now),
	}
}

func (server *APIServer) writeRefusal(ctx *fasthttp.RequestCtx, status int, refusal NotRun) {
	body := newRefusalBody(refusal, time.Now())
	if body.RetryAfterMS > 0 {
		seconds := (body.RetryAfterMS + 999) / 1000
		ctx.Response.Header.Set(headerRetryAfter, strconv.FormatInt(seconds, 10))
	}
	server.dependencies.Scope.Tagged(map[string]string{"code": refusal.Code}).Counter("refusals").Inc(1)
	writeJSON(ctx, status, body)
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	encoded, _ := json.Marshal(body) // Marshalling structs of strings and numbers never fails.
	ctx.SetBody(append(encoded, '\n'))
}

// writeAnswer appends the body exactly as the agent sent it. An encoder would
// rewrite its bytes, and the digest would no longer match.
func writeAnswer(ctx *fasthttp.RequestCtx, answer answerBody, body []byte) {
	writeJSON(ctx, fasthttp.StatusOK, answer)
	if len(body) == 0 {
		return
	}
	if connOf(ctx).Account().Take(budgets.Answers, answerCopies*int64(len(body))) != nil {
		writeJSON(ctx, failureStatus(noRoomForAnswer), failureBody(noRoomForAnswer))
		return
	}
	if !json.Valid(body) {
		writeJSON(ctx, fasthttp.StatusGatewayTimeout, refusalBody{
			Outcome: OutcomeUnknown, Code: CodeOutcomeUnknown, Message: "the answer is not valid JSON",
		})
		return
	}
	whole := bytes.TrimSuffix(ctx.Response.Body(), []byte("}\n"))
	whole = append(bytes.Clone(whole), `,"body":`...)
	whole = append(whole, body...)
	ctx.SetBody(append(whole, '}', '\n'))
}

// lookUpKey serves GET /v1/requests/{key}.
func (server *APIServer) lookUpKey(ctx *fasthttp.RequestCtx, validated validatedRequest) {
	lookupCtx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	state, end, err := server.dependencies.Dispatcher.Lookup(lookupCtx, validated.organisation.Name, validated.incoming.Key)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		writeJSON(ctx, fasthttp.StatusNotFound, refusalBody{
			Outcome: OutcomeUnknown, Code: CodeUnknownKey, Message: "no claim of this key is known",
		})
	case err != nil:
		server.dependencies.Logger.Info("lookup of a request key failed", logs.Organisation(validated.organisation.Name), zap.Error(err))
		writeJSON(ctx, fasthttp.StatusServiceUnavailable, refusalBody{
			Outcome: OutcomeUnknown, Code: CodeStoreUnavailable, Message: "the claim could not be read",
			RetryAfterMS: defaultRetryAfter.Milliseconds(),
		})
	default:
		body := newAnswerBody(end)
		body.Outcome = string(state)
		writeAnswer(ctx, body, end.Body)
	}
}

// discardLogger drops the log lines of fasthttp, because callers could cause
// any number of them.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

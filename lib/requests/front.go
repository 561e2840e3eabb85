package requests

// The caller HTTP API. A request is checked completely before anything of it
// leaves the entry, so that every refusal here is truly "not run". fasthttp is
// used instead of net/http because it serves requests without an allocation
// for each header.

import (
	"bytes"
	"context"
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

	"firford/lib/configurations"
	"firford/lib/logs"
	"firford/lib/platform"
)

const (
	// MaxBodyBytes bounds the body of a caller's request.
	MaxBodyBytes = 1 << 20

	// Bodies up to this size are read and then refused. A connection that is closed
	// with unread data resets, and the caller loses the refusal.
	maxReadBytes     = 4 << 20
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
	// Dependencies are the collaborators of an APIServer. CountLiveEntries returns
	// the number of live entries; each entry enforces that fraction of an
	// organisation's limits. Observer may be nil.
	Dependencies struct {
		Source           configurations.Source
		Dispatcher       *Dispatcher
		CountLiveEntries func() int
		Observer         Observer
		Scope            tally.Scope
		Logger           *zap.Logger
	}

	// Observer learns how each request ended. It must not block.
	Observer interface {
		Observe(observation Observation)
	}

	// Observation is one request as its caller has seen it. FirstPart is zero
	// where no part was passed on. Outcome is the code of the API.
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

	// APIServer serves callers.
	APIServer struct {
		dependencies Dependencies
		limits       *limits
		entries      *liveEntries
		callers      *callerIndex
		inProgress   atomic.Int64
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
		dependencies: dependencies, limits: newLimits(), callers: &callerIndex{},
		entries: &liveEntries{ask: dependencies.CountLiveEntries},
	}
}

// Serve answers callers on the listener. When the context ends it stops
// accepting and returns after the requests in progress have ended.
func (front *APIServer) Serve(ctx context.Context, listener net.Listener) error {
	server := &fasthttp.Server{
		Handler:               front.handle,
		ErrorHandler:          front.refuseUnread,
		Name:                  "firford",
		MaxRequestBodySize:    maxReadBytes,
		ReadBufferSize:        maxHeaderBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		SecureErrorLogMessage: true,
		Logger:                quietLogger{},
	}
	stopped := make(chan error, 1)
	go func() {
		<-ctx.Done()
		stopped <- server.Shutdown()
	}()
	if err := server.Serve(lingeringListener{Listener: listener}); err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	return <-stopped
}

// InProgress returns the number of requests that have not ended.
func (front *APIServer) InProgress() int {
	return int(front.inProgress.Load())
}

// refuseUnread answers a request that the server could not read.
func (front *APIServer) refuseUnread(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		problem := tooLarge()
		front.refuse(ctx, problem.status, problem.refusal)
		return
	}
	front.refuse(ctx, fasthttp.StatusBadRequest, NotRun{Code: CodeMalformed, Message: "the request could not be read"})
}

func (front *APIServer) handle(ctx *fasthttp.RequestCtx) {
	asked, problem := front.check(ctx, time.Now())
	if problem != nil {
		front.refuse(ctx, problem.status, problem.refusal)
		return
	}
	if asked.lookup {
		front.lookup(ctx, asked)
		return
	}
	if front.inProgress.Add(1) > maxInProgress {
		front.inProgress.Add(-1)
		front.refuse(ctx, fasthttp.StatusServiceUnavailable, NotRun{
			Code: CodeOverloaded, Message: "the entry has too many requests in progress", RetryAt: time.Now().Add(defaultRetryAfter),
		})
		return
	}
	now := time.Now()
	entered, refusal := front.limits.enter(asked.organisation, front.entries.at(now), now)
	if refusal != nil {
		front.inProgress.Add(-1)
		front.refuse(ctx, fasthttp.StatusTooManyRequests, *refusal)
		return
	}
	front.run(ctx, asked, func() {
		entered()
		front.inProgress.Add(-1)
	})
}

// run starts the request and answers with its first event: a part begins a
// streamed answer, an outcome is the whole answer.
func (front *APIServer) run(ctx *fasthttp.RequestCtx, asked asked, leave func()) {
	ctx.Response.Header.Set(headerRequestID, asked.call.Request.RequestID)
	answer := newAnswerStream()
	// The server's own context ends at shutdown, which must not end requests.
	running, cancel := context.WithCancel(context.Background())
	started := time.Now()
	go func() {
		defer cancel()
		outcome := front.dependencies.Dispatcher.Dispatch(running, asked.call, answer.pass)
		leave()
		answer.end(outcome)
		front.observe(asked, answer, outcome, started)
	}()
	if !answer.waitFirst() {
		front.answer(ctx, answer.outcome())
		return
	}
	ctx.SetContentType("application/x-ndjson")
	abandon := cancel
	if !asked.call.Request.Idempotent {
		// The caller may come back with the same key and collect the answer.
		abandon = func() {}
	}
	ctx.SetBodyStreamWriter(answer.writer(abandon))
}

func (front *APIServer) observe(asked asked, answer *answerStream, outcome Outcome, started time.Time) {
	name, code := describe(outcome)
	front.dependencies.Scope.Tagged(map[string]string{
		"deployment": asked.call.Request.Deployment, "organisation": asked.organisation.Name, "outcome": name,
	}).Counter("requests").Inc(1)
	if front.dependencies.Observer == nil {
		return
	}
	first, parts := answer.seen()
	front.dependencies.Observer.Observe(Observation{
		Organisation: asked.organisation.Name, Deployment: asked.call.Request.Deployment, Outcome: name, Code: code,
		Parts: parts, Started: started, FirstPart: first, Ended: time.Now(), Deadline: asked.call.Request.Deadline,
	})
}

func describe(outcome Outcome) (name, code string) {
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

// answer writes an outcome that no part has preceded.
func (front *APIServer) answer(ctx *fasthttp.RequestCtx, outcome Outcome) {
	switch ended := outcome.(type) {
	case Answered:
		writeAnswer(ctx, newAnswerBody(ended), ended.Body)
	case NotRun:
		front.refuse(ctx, refusalStatus(ended), ended)
	default:
		writeJSON(ctx, failureStatus(outcome), failureBody(outcome))
	}
}

func newAnswerBody(end Answered) answerBody {
	return answerBody{Outcome: OutcomeAnswered, Parts: end.Parts, Digest: end.Digest, Version: end.Version}
}

// refusalStatus is the status of a refusal that does not come from the checks.
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
	if _, gone := outcome.(NotKept); gone {
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

func (front *APIServer) refuse(ctx *fasthttp.RequestCtx, status int, refusal NotRun) {
	body := newRefusalBody(refusal, time.Now())
	if body.RetryAfterMS > 0 {
		seconds := (body.RetryAfterMS + 999) / 1000
		ctx.Response.Header.Set(headerRetryAfter, strconv.FormatInt(seconds, 10))
	}
	front.dependencies.Scope.Tagged(map[string]string{"code": refusal.Code}).Counter("refusals").Inc(1)
	writeJSON(ctx, status, body)
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	encoded, _ := json.Marshal(body) // Only structs of strings and numbers get here.
	ctx.SetBody(append(encoded, '\n'))
}

// writeAnswer appends the body as the agent sent it, because an encoder would
// rewrite its bytes and the digest would no longer match.
func writeAnswer(ctx *fasthttp.RequestCtx, answer answerBody, body []byte) {
	writeJSON(ctx, fasthttp.StatusOK, answer)
	if len(body) == 0 {
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

// lookup serves GET /v1/requests/{key}.
func (front *APIServer) lookup(ctx *fasthttp.RequestCtx, asked asked) {
	limited, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	state, end, err := front.dependencies.Dispatcher.Lookup(limited, asked.organisation.Name, asked.call.Key)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		writeJSON(ctx, fasthttp.StatusNotFound, refusalBody{
			Outcome: OutcomeUnknown, Code: CodeUnknownKey, Message: "no claim of this key is known",
		})
	case err != nil:
		front.dependencies.Logger.Info("lookup failed", logs.Organisation(asked.organisation.Name), zap.Error(err))
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

// quietLogger drops the HTTP server's own lines, which callers could cause at will.
type quietLogger struct{}

// Printf implements fasthttp.Logger.
func (quietLogger) Printf(string, ...any) {}

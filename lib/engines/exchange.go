package engines

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const maxAnswerBytes = 1 << 20

var errSilent = errors.New("no progress within the silence limit")

type (
	// exchange is one request and its answer on one connection.
	exchange struct {
		client   *Client
		conn     *connection
		response *fasthttp.Response
		guard    *guard
		detach   func() bool
		ctx      context.Context
	}

	// guard closes a connection without progress. Half-way to the limit it asks the
	// backend server for its status on a new connection, so that the error can
	// tell a silent connection from a dead server.
	guard struct {
		client   *Client
		conn     *connection
		progress atomic.Int64
		stopped  atomic.Bool
		silent   atomic.Bool
		alive    atomic.Bool
		timer    *time.Timer
	}

	// probe is one status question that all guards of a client share.
	probe struct {
		mutex sync.Mutex
		done  chan struct{}
		alive bool
	}

	refusalBody struct {
		Code         string `json:"code"`
		RetryAfterMS int64  `json:"retry_after_ms"`
	}
)

// begin sends the request and reads the head of the answer, or all of it where
// streamed is not set. The caller ends the exchange.
func (client *Client) begin(ctx context.Context, request *fasthttp.Request, streamed, fresh, guarded bool) (*exchange, error) {
	conn, err := client.pool.take(ctx, fresh)
	if err != nil {
		return nil, &UnreachableError{Err: err}
	}
	current := &exchange{client: client, conn: conn, ctx: ctx, response: fasthttp.AcquireResponse()}
	current.detach = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if guarded {
		current.guard = newGuard(client, conn)
		conn.guard = current.guard
	}
	current.response.StreamBody = streamed
	if err := current.transfer(request); err != nil {
		err = current.broken(err)
		current.end(false)
		return nil, err
	}
	if err := current.refusal(); err != nil {
		current.end(false)
		return nil, err
	}
	return current, nil
}

func (current *exchange) transfer(request *fasthttp.Request) error {
	if err := request.Write(current.conn.writer); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	if err := current.conn.writer.Flush(); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	if err := current.response.ReadLimitBody(current.conn.reader, maxAnswerBytes); err != nil {
		return fmt.Errorf("receive: %w", err)
	}
	current.advance()
	return nil
}

func (current *exchange) advance() {
	if current.guard != nil {
		current.guard.advance()
	}
}

// broken turns an error after sending into one that tells what is known.
func (current *exchange) broken(err error) error {
	problem := &InterruptedError{Err: err}
	switch {
	case current.ctx.Err() != nil:
		problem.Err = current.ctx.Err()
	case current.guard != nil && current.guard.silent.Load():
		problem.Err = errSilent
		problem.Silent = true
		problem.ServerAlive = current.guard.alive.Load()
	}
	return problem
}

// refusal returns the error of an answer that isn't a success. Only the codes of
// the protocol prove that nothing was executed.
func (current *exchange) refusal() error {
	status := current.response.StatusCode()
	if status == fasthttp.StatusOK {
		return nil
	}
	var body refusalBody
	if current.response.StreamBody {
		_ = json.NewDecoder(io.LimitReader(current.response.BodyStream(), maxLineBytes)).Decode(&body)
	} else {
		_ = json.Unmarshal(current.response.Body(), &body)
	}
	switch body.Code {
	case CodeLoading, CodeOverloaded, CodeLeaving, CodeMalformed, CodeNotServing, CodeStaleToken, CodeUnknownOrder, CodeIncomplete:
	default:
		return &InterruptedError{Err: fmt.Errorf("status %d without a known refusal", status)}
	}
	refused := &RefusedError{Status: status, Code: body.Code}
	if body.RetryAfterMS > 0 {
		refused.RetryAt = time.Now().Add(time.Duration(body.RetryAfterMS) * time.Millisecond)
	}
	return refused
}

// end gives the connection back where the answer was read to its end, and
// closes it otherwise.
func (current *exchange) end(whole bool) {
	if current.guard != nil {
		current.guard.stop()
		current.conn.guard = nil
	}
	reusable := current.detach() && whole && !current.response.ConnectionClose()
	if !reusable {
		_ = current.conn.Close()
	}
	fasthttp.ReleaseResponse(current.response)
	if reusable {
		current.client.pool.give(current.conn)
		return
	}
	current.client.pool.drop(current.conn)
}

func newGuard(client *Client, conn *connection) *guard {
	watched := &guard{client: client, conn: conn}
	watched.progress.Store(time.Now().UnixNano())
	watched.timer = time.AfterFunc(client.options.SilenceLimit/2, watched.check)
	return watched
}

func (watched *guard) advance() {
	watched.progress.Store(time.Now().UnixNano())
}

func (watched *guard) stop() {
	watched.stopped.Store(true)
	watched.timer.Stop()
}

// check runs at most once at a time for each guard, because only it sets the
// timer again.
func (watched *guard) check() {
	if watched.stopped.Load() {
		return
	}
	half := watched.client.options.SilenceLimit / 2
	last := time.Unix(0, watched.progress.Load())
	quiet := time.Since(last)
	switch {
	case quiet < half:
		watched.timer.Reset(half - quiet)
	case quiet < 2*half:
		watched.alive.Store(watched.client.alive())
		watched.timer.Reset(max(time.Until(last.Add(2*half)), 0))
	default:
		watched.silent.Store(true)
		_ = watched.conn.Close()
		watched.client.pool.closeIdle()
	}
}

// alive reports whether the backend server answers on a new connection. All who
// ask while a question is under way share its answer.
func (client *Client) alive() bool {
	client.probe.mutex.Lock()
	done := client.probe.done
	if done == nil {
		done = make(chan struct{})
		client.probe.done = done
		go client.ask(done)
	}
	client.probe.mutex.Unlock()
	<-done
	client.probe.mutex.Lock()
	defer client.probe.mutex.Unlock()
	return client.probe.alive
}

func (client *Client) ask(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), client.options.SilenceLimit/3)
	defer cancel()
	_, err := client.status(ctx, true)
	client.probe.mutex.Lock()
	defer client.probe.mutex.Unlock()
	client.probe.alive = err == nil
	client.probe.done = nil
	close(done)
}

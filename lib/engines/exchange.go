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
		client          *Client
		conn            *connection
		response        *fasthttp.Response
		monitor         *progressMonitor
		stopCloseOnDone func() bool
		ctx             context.Context
	}

	// progressMonitor closes a connection that makes no progress. Halfway to the
	// limit it requests the status of the backend server on a new connection, so
	// that the error can distinguish a silent connection from a failed server.
	progressMonitor struct {
		client   *Client
		conn     *connection
		progress atomic.Int64
		stopped  atomic.Bool
		silent   atomic.Bool
		alive    atomic.Bool
		timer    *time.Timer
	}

	// livenessProbe is one status request that all monitors of a client share.
	livenessProbe struct {
		mutex sync.Mutex
		done  chan struct{}
		alive bool
	}

	refusalBody struct {
		Code         string `json:"code"`
		RetryAfterMS int64  `json:"retry_after_ms"`
	}
)

// startExchange sends the request and reads the answer, or only its header if
// streamed is set. newConnection rules out a pooled connection, and monitored
// closes the connection if it makes no progress. The caller must call finish.
func (client *Client) startExchange(ctx context.Context, request *fasthttp.Request, streamed, newConnection, monitored bool) (*exchange, error) {
	conn, err := client.pool.acquire(ctx, newConnection)
	if err != nil {
		return nil, &UnreachableError{Err: err}
	}
	exchange := &exchange{client: client, conn: conn, ctx: ctx, response: fasthttp.AcquireResponse()}
	exchange.stopCloseOnDone = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if monitored {
		exchange.monitor = newProgressMonitor(client, conn)
		conn.monitor = exchange.monitor
	}
	exchange.response.StreamBody = streamed
	if err := exchange.sendAndReceive(request); err != nil {
		err = exchange.interruption(err)
		exchange.finish(false)
		return nil, err
	}
	if err := exchange.checkRefusal(); err != nil {
		exchange.finish(false)
		return nil, err
	}
	return exchange, nil
}

func (exchange *exchange) sendAndReceive(request *fasthttp.Request) error {
	if err := request.Write(exchange.conn.writer); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	if err := exchange.conn.writer.Flush(); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	if err := exchange.response.ReadLimitBody(exchange.conn.reader, maxAnswerBytes); err != nil {
		return fmt.Errorf("receive: %w", err)
	}
	exchange.recordProgress()
	return nil
}

func (exchange *exchange) recordProgress() {
	if exchange.monitor != nil {
		exchange.monitor.recordProgress()
	}
}

// interruption returns the error of an exchange that failed after sending had
// begun, with what is known about the cause.
func (exchange *exchange) interruption(err error) error {
	interrupted := &InterruptedError{Err: err}
	switch {
	case exchange.ctx.Err() != nil:
		interrupted.Err = exchange.ctx.Err()
	case exchange.monitor != nil && exchange.monitor.silent.Load():
		interrupted.Err = errSilent
		interrupted.Silent = true
		interrupted.ServerAlive = exchange.monitor.alive.Load()
	}
	return interrupted
}

// checkRefusal returns an error if the answer isn't a success. Only the codes
// of the protocol prove that nothing was executed.
func (exchange *exchange) checkRefusal() error {
	status := exchange.response.StatusCode()
	if status == fasthttp.StatusOK {
		return nil
	}
	var body refusalBody
	if exchange.response.StreamBody {
		_ = json.NewDecoder(io.LimitReader(exchange.response.BodyStream(), maxLineBytes)).Decode(&body)
	} else {
		_ = json.Unmarshal(exchange.response.Body(), &body)
	}
	switch body.Code {
	case CodeLoading, CodeOverloaded, CodeLeaving, CodeMalformed, CodeNotServing, CodeStaleToken, CodeUnknownOrder, CodeIncomplete:
	default:
		return &InterruptedError{Err: fmt.Errorf("status %d without a known refusal code", status)}
	}
	refused := &RefusedError{Status: status, Code: body.Code}
	if body.RetryAfterMS > 0 {
		refused.RetryAt = time.Now().Add(time.Duration(body.RetryAfterMS) * time.Millisecond)
	}
	return refused
}

// finish returns the connection to the pool if the answer was read to its end,
// and closes it otherwise.
func (exchange *exchange) finish(readToEnd bool) {
	if exchange.monitor != nil {
		exchange.monitor.stop()
		exchange.conn.monitor = nil
	}
	reusable := exchange.stopCloseOnDone() && readToEnd && !exchange.response.ConnectionClose()
	if !reusable {
		_ = exchange.conn.Close()
	}
	fasthttp.ReleaseResponse(exchange.response)
	if reusable {
		exchange.client.pool.release(exchange.conn)
		return
	}
	exchange.client.pool.discard(exchange.conn)
}

func newProgressMonitor(client *Client, conn *connection) *progressMonitor {
	monitor := &progressMonitor{client: client, conn: conn}
	monitor.progress.Store(time.Now().UnixNano())
	monitor.timer = time.AfterFunc(client.options.SilenceLimit/2, monitor.checkProgress)
	return monitor
}

func (monitor *progressMonitor) recordProgress() {
	monitor.progress.Store(time.Now().UnixNano())
}

func (monitor *progressMonitor) stop() {
	monitor.stopped.Store(true)
	monitor.timer.Stop()
}

// checkProgress never runs concurrently for the same monitor, because only
// checkProgress itself resets the timer.
func (monitor *progressMonitor) checkProgress() {
	if monitor.stopped.Load() {
		return
	}
	half := monitor.client.options.SilenceLimit / 2
	last := time.Unix(0, monitor.progress.Load())
	silence := time.Since(last)
	switch {
	case silence < half:
		monitor.timer.Reset(half - silence)
	case silence < 2*half:
		monitor.alive.Store(monitor.client.isAlive())
		monitor.timer.Reset(max(time.Until(last.Add(2*half)), 0))
	default:
		monitor.silent.Store(true)
		_ = monitor.conn.Close()
		monitor.client.pool.closeIdle()
	}
}

// isAlive reports whether the backend server answers on a new connection.
// Concurrent callers share the answer of one probe.
func (client *Client) isAlive() bool {
	client.liveness.mutex.Lock()
	done := client.liveness.done
	if done == nil {
		done = make(chan struct{})
		client.liveness.done = done
		go client.runProbe(done)
	}
	client.liveness.mutex.Unlock()
	<-done
	client.liveness.mutex.Lock()
	defer client.liveness.mutex.Unlock()
	return client.liveness.alive
}

func (client *Client) runProbe(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), client.options.SilenceLimit/3)
	defer cancel()
	_, err := client.status(ctx, true)
	client.liveness.mutex.Lock()
	defer client.liveness.mutex.Unlock()
	client.liveness.alive = err == nil
	client.liveness.done = nil
	close(done)
}

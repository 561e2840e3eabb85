package fake

// This file serves the engine protocol over HTTP, and beside it the paths through
// which tests control the fake engine: /ready, /faults and /record.

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"firford/cmd/fakeengine/tokens"
)

const ordersPath = "/v1/orders/"

type (
	generateRequest struct {
		RequestID  string `json:"request_id"`
		Prompt     string `json:"prompt"`
		MaxTokens  int    `json:"max_tokens"`
		Priority   int    `json:"priority"`
		ResumeFrom int    `json:"resume_from"`
	}

	// tokenLine is a line of the streamed answer to a generate request.
	tokenLine struct {
		Seq   int    `json:"seq"`
		Token string `json:"token"`
	}

	// lastLine ends a complete answer.
	lastLine struct {
		Done    bool   `json:"done"`
		Tokens  int    `json:"tokens"`
		Version string `json:"version"`
	}

	// errorLine ends an answer that was cancelled.
	errorLine struct {
		Error string `json:"error"`
	}

	callRequest struct {
		RequestID string          `json:"request_id"`
		Call      string          `json:"call"`
		Arguments json.RawMessage `json:"arguments"`
	}

	callResponse struct {
		RequestID string `json:"request_id"`
		Result    string `json:"result"`
		Executed  int    `json:"executed"`
		Version   string `json:"version"`
	}

	cancelRequest struct {
		RequestID string `json:"request_id"`
	}

	orderRequest struct {
		FencingToken   int64  `json:"fencing_token"`
		OrderID        string `json:"order_id"`
		ManifestDigest string `json:"manifest_digest"`
		Version        string `json:"version"`
		Size           int64  `json:"size"`
	}

	commitRequest struct {
		FencingToken int64 `json:"fencing_token"`
	}

	roleRequest struct {
		FencingToken int64  `json:"fencing_token"`
		Role         string `json:"role"`
	}

	statusResponse struct {
		Version        string `json:"version"`
		ManifestDigest string `json:"manifest_digest"`
		OrderID        string `json:"order_id"`
		FailedOrder    string `json:"failed_order,omitempty"`
		Loading        bool   `json:"loading"`
		Running        int    `json:"running"`
		Queued         int    `json:"queued"`
		Slots          int    `json:"slots"`
		Leaving        bool   `json:"leaving"`
		Role           string `json:"role"`
	}

	eventsResponse struct {
		Events []cacheEvent `json:"events"`
	}

	// refusal is the body of a response to a request that the engine does not
	// accept.
	refusal struct {
		status       int
		Code         string `json:"code"`
		RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	}
)

// Serve answers requests on the listener until the context ends. It then waits up
// to a second for open requests.
func (engine *Engine) Serve(ctx context.Context, listener net.Listener) error {
	server := &fasthttp.Server{
		Handler:               engine.handle,
		Name:                  "fakeengine",
		MaxRequestBodySize:    maxPieceBytes,
		Concurrency:           maxConnections,
		NoDefaultServerHeader: true,
	}
	go func() {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.ShutdownWithContext(shutdownCtx)
	}()
	return server.Serve(listener)
}

// handle answers requests that control the fake engine without delay. All other
// requests are subject to its faults.
func (engine *Engine) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/ready":
		ctx.SetBodyString("ok\n")
	case "/faults":
		if err := engine.setFaults(ctx.PostBody()); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		}
	case "/record":
		engine.mutex.Lock()
		response := engine.record.response(string(ctx.QueryArgs().Peek("id")))
		engine.mutex.Unlock()
		writeJSON(ctx, response)
	default:
		engine.delayResponse()
		if !engine.waitWhileBlocked(time.Now()) {
			return
		}
		engine.handleProtocol(ctx)
		engine.waitWhileBlocked(ctx.ConnTime())
	}
}

func (engine *Engine) handleProtocol(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == "/v1/generate":
		engine.handleGenerate(ctx)
	case path == "/v1/call":
		engine.handleCall(ctx)
	case path == "/v1/cancel":
		var body cancelRequest
		if decodeBody(ctx, &body) {
			engine.cancel(body.RequestID, nil)
		}
	case path == "/v1/status":
		writeJSON(ctx, engine.status())
	case path == "/v1/cache_events":
		engine.handleEvents(ctx)
	case path == "/v1/role":
		engine.handleRole(ctx)
	case path == "/v1/orders":
		var body orderRequest
		if decodeBody(ctx, &body) {
			writeResult(ctx, engine.openOrder(body))
		}
	case strings.HasPrefix(path, ordersPath):
		engine.handleOrder(ctx, strings.Split(path[len(ordersPath):], "/"))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (engine *Engine) handleGenerate(ctx *fasthttp.RequestCtx) {
	var body generateRequest
	if !decodeBody(ctx, &body) {
		return
	}
	if body.RequestID == "" || body.ResumeFrom < 0 || len(ctx.PostBody()) > maxRequestBytes {
		writeResult(ctx, &refusal{status: fasthttp.StatusBadRequest, Code: codeMalformed})
		return
	}
	running, refused := engine.submit(body)
	if refused != nil {
		writeResult(ctx, refused)
		return
	}
	opened := ctx.ConnTime()
	ctx.SetContentType("application/x-ndjson")
	ctx.SetBodyStreamWriter(func(writer *bufio.Writer) { engine.stream(running, body.ResumeFrom, opened, writer) })
}

// stream writes the tokens as they are computed. It cancels the request when the
// caller has disconnected. sent is the number of tokens that the caller already
// has.
func (engine *Engine) stream(running *sequence, sent int, opened time.Time, writer *bufio.Writer) {
	defer engine.cancel(running.requestID, running)
	lines := json.NewEncoder(writer)
	for sent < running.total || sent == 0 {
		done, open := 0, false
		select {
		case done, open = <-running.progress:
		case <-engine.ctx.Done():
			return
		}
		if !engine.waitWhileBlocked(opened) {
			return
		}
		if !open {
			_ = lines.Encode(errorLine{Error: codeCancelled})
			_ = writer.Flush()
			return
		}
		for ; sent < done; sent++ {
			writeToken(writer, lines, running, sent+1)
		}
		if writer.Flush() != nil {
			return
		}
		if done >= running.total {
			break
		}
	}
	total := running.total
	if running.damage == damageTotal {
		total++
	}
	_ = lines.Encode(lastLine{Done: true, Tokens: total, Version: running.served.version})
	_ = writer.Flush()
}

// writeToken writes the line of a token. The damage of the answer applies to the
// token in its middle.
func writeToken(writer *bufio.Writer, lines *json.Encoder, running *sequence, index int) {
	line := tokenLine{Seq: index, Token: running.answer.Token(index)}
	damaged := index == running.total/2+1
	switch {
	case damaged && running.damage == damageGap:
	case damaged && running.damage == damageMalformed:
		_, _ = writer.WriteString("{\"seq\":\n")
	case damaged && running.damage == damageDuplicate:
		_ = lines.Encode(line)
		_ = lines.Encode(line)
	default:
		_ = lines.Encode(line)
	}
}

func (engine *Engine) handleCall(ctx *fasthttp.RequestCtx) {
	var body callRequest
	if !decodeBody(ctx, &body) {
		return
	}
	if body.RequestID == "" {
		writeResult(ctx, &refusal{status: fasthttp.StatusBadRequest, Code: codeMalformed})
		return
	}
	engine.mutex.Lock()
	refused := engine.checkAdmission()
	if refused == nil {
		engine.record.addExecution(body.RequestID, kindCall, engine.serving.version, 0, time.Now())
	}
	version := engine.serving.version
	duration := time.Duration(float64(engine.settings.CallTime) / engine.faults.Speed)
	engine.mutex.Unlock()
	if refused != nil {
		writeResult(ctx, refused)
		return
	}
	time.Sleep(duration)
	engine.mutex.Lock()
	executed := 1
	if execution := engine.record.byID[body.RequestID]; execution != nil {
		executed = execution.Count
	}
	engine.mutex.Unlock()
	writeJSON(ctx, callResponse{
		RequestID: body.RequestID,
		Result:    tokens.CallResult(body.RequestID, body.Call, body.Arguments),
		Executed:  executed,
		Version:   version,
	})
}

// status returns the state of the engine with the load of Lag ago.
func (engine *Engine) status() statusResponse {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	running, queued := engine.load.loadAt(time.Now().Add(-engine.settings.Lag))
	return statusResponse{
		Version:        engine.serving.version,
		ManifestDigest: engine.serving.manifestDigest,
		OrderID:        engine.serving.orderID,
		FailedOrder:    engine.failedOrder,
		Loading:        engine.loadingOrder != nil,
		Running:        running,
		Queued:         queued,
		Slots:          engine.settings.Slots,
		Leaving:        engine.faults.Leaving,
		Role:           engine.role,
	}
}

func (engine *Engine) handleEvents(ctx *fasthttp.RequestCtx) {
	after := ctx.QueryArgs().GetUintOrZero("after")
	engine.mutex.Lock()
	events := engine.cache.visibleEvents(int64(after), time.Now())
	engine.mutex.Unlock()
	writeJSON(ctx, eventsResponse{Events: events})
}

func (engine *Engine) handleRole(ctx *fasthttp.RequestCtx) {
	var body roleRequest
	if !decodeBody(ctx, &body) {
		return
	}
	if body.Role != roleServe && body.Role != roleStandby {
		writeResult(ctx, &refusal{status: fasthttp.StatusBadRequest, Code: codeMalformed})
		return
	}
	engine.mutex.Lock()
	refused := engine.checkFencingToken(body.FencingToken)
	if refused == nil {
		engine.role = body.Role
	}
	engine.mutex.Unlock()
	writeResult(ctx, refused)
}

// handleOrder answers requests to an order. parts holds the segments of the path
// from the order's id on.
func (engine *Engine) handleOrder(ctx *fasthttp.RequestCtx, parts []string) {
	switch {
	case len(parts) == 3 && parts[1] == "pieces" && ctx.IsPut():
		index, err := strconv.Atoi(parts[2])
		if err != nil {
			writeResult(ctx, &refusal{status: fasthttp.StatusBadRequest, Code: codeMalformed})
			return
		}
		writeResult(ctx, engine.addPiece(parts[0], index, ctx.PostBody()))
	case len(parts) == 2 && parts[1] == "commit":
		var body commitRequest
		if decodeBody(ctx, &body) {
			writeResult(ctx, engine.commitOrder(parts[0], body.FencingToken))
		}
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// decodeBody decodes the JSON body of a request. It refuses a malformed body and
// returns false.
func decodeBody(ctx *fasthttp.RequestCtx, into any) bool {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		writeResult(ctx, &refusal{status: fasthttp.StatusBadRequest, Code: codeMalformed})
		return false
	}
	return true
}

// writeResult writes the refusal, or an empty object if it is nil.
func writeResult(ctx *fasthttp.RequestCtx, refused *refusal) {
	if refused == nil {
		writeJSON(ctx, struct{}{})
		return
	}
	writeJSON(ctx, refused)
	ctx.SetStatusCode(refused.status)
}

func writeJSON(ctx *fasthttp.RequestCtx, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

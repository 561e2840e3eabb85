package fake

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

const piecePath = "/v1/orders/"

type (
	generateRequest struct {
		RequestID  string `json:"request_id"`
		Prompt     string `json:"prompt"`
		MaxTokens  int    `json:"max_tokens"`
		Priority   int    `json:"priority"`
		ResumeFrom int    `json:"resume_from"`
	}

	tokenLine struct {
		Seq   int    `json:"seq"`
		Token string `json:"token"`
	}

	lastLine struct {
		Done    bool   `json:"done"`
		Tokens  int    `json:"tokens"`
		Version string `json:"version"`
	}

	errorLine struct {
		Error string `json:"error"`
	}

	callRequest struct {
		RequestID string          `json:"request_id"`
		Call      string          `json:"call"`
		Arguments json.RawMessage `json:"arguments"`
	}

	callAnswer struct {
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

	statusAnswer struct {
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

	eventsAnswer struct {
		Events []cacheEvent `json:"events"`
	}

	refusal struct {
		status       int
		Code         string `json:"code"`
		RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	}
)

// Serve answers on the listener until the context ends.
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
		bounded, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.ShutdownWithContext(bounded)
	}()
	return server.Serve(listener)
}

// handle answers the calls that control the fake at once; all others are
// subject to its faults.
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
		answer := engine.record.answer(string(ctx.QueryArgs().Peek("id")))
		engine.mutex.Unlock()
		writeJSON(ctx, answer)
	default:
		engine.delay()
		if !engine.hold(time.Now()) {
			return
		}
		engine.protocol(ctx)
		engine.hold(ctx.ConnTime())
	}
}

func (engine *Engine) protocol(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == "/v1/generate":
		engine.handleGenerate(ctx)
	case path == "/v1/call":
		engine.handleCall(ctx)
	case path == "/v1/cancel":
		var body cancelRequest
		if decode(ctx, &body) {
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
		if decode(ctx, &body) {
			refuse(ctx, engine.open(body))
		}
	case strings.HasPrefix(path, piecePath):
		engine.handleOrder(ctx, strings.Split(path[len(piecePath):], "/"))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (engine *Engine) handleGenerate(ctx *fasthttp.RequestCtx) {
	var body generateRequest
	if !decode(ctx, &body) {
		return
	}
	if body.RequestID == "" || body.ResumeFrom < 0 || len(ctx.PostBody()) > maxRequestBytes {
		refuse(ctx, &refusal{status: fasthttp.StatusBadRequest, Code: codeMalformed})
		return
	}
	running, refused := engine.submit(body)
	if refused != nil {
		refuse(ctx, refused)
		return
	}
	opened := ctx.ConnTime()
	ctx.SetContentType("application/x-ndjson")
	ctx.SetBodyStreamWriter(func(writer *bufio.Writer) { engine.stream(running, body.ResumeFrom, opened, writer) })
}

// stream writes the tokens as they come into being. A caller that has gone
// ends the request.
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
		if !engine.hold(opened) {
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
	_ = lines.Encode(lastLine{Done: true, Tokens: total, Version: running.content.version})
	_ = writer.Flush()
}

func writeToken(writer *bufio.Writer, lines *json.Encoder, running *sequence, index int) {
	line := tokenLine{Seq: index, Token: running.answer.Token(index)}
	damaged := index == running.total/2+1
	switch {
	case damaged && running.damage == damageSkipped:
	case damaged && running.damage == damageMalformed:
		_, _ = writer.WriteString("{\"seq\":\n")
	case damaged && running.damage == damageDoubled:
		_ = lines.Encode(line)
		_ = lines.Encode(line)
	default:
		_ = lines.Encode(line)
	}
}

func (engine *Engine) handleCall(ctx *fasthttp.RequestCtx) {
	var body callRequest
	if !decode(ctx, &body) {
		return
	}
	if body.RequestID == "" {
		refuse(ctx, &refusal{status: fasthttp.StatusBadRequest, Code: codeMalformed})
		return
	}
	engine.mutex.Lock()
	refused := engine.refusal()
	if refused == nil {
		engine.record.ran(body.RequestID, kindCall, engine.serving.version, 0, time.Now())
	}
	version := engine.serving.version
	span := time.Duration(float64(engine.settings.CallTime) / engine.faults.Speed)
	engine.mutex.Unlock()
	if refused != nil {
		refuse(ctx, refused)
		return
	}
	time.Sleep(span)
	engine.mutex.Lock()
	executed := 1
	if entry := engine.record.byID[body.RequestID]; entry != nil {
		executed = entry.Count
	}
	engine.mutex.Unlock()
	writeJSON(ctx, callAnswer{
		RequestID: body.RequestID,
		Result:    tokens.CallResult(body.RequestID, body.Call, body.Arguments),
		Executed:  executed,
		Version:   version,
	})
}

func (engine *Engine) status() statusAnswer {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	running, queued := engine.load.at(time.Now().Add(-engine.settings.Lag))
	return statusAnswer{
		Version:        engine.serving.version,
		ManifestDigest: engine.serving.manifestDigest,
		OrderID:        engine.serving.orderID,
		FailedOrder:    engine.failedOrder,
		Loading:        engine.order != nil,
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
	events := engine.cache.published(int64(after), time.Now())
	engine.mutex.Unlock()
	writeJSON(ctx, eventsAnswer{Events: events})
}

func (engine *Engine) handleRole(ctx *fasthttp.RequestCtx) {
	var body roleRequest
	if !decode(ctx, &body) {
		return
	}
	if body.Role != roleServe && body.Role != roleStandby {
		refuse(ctx, &refusal{status: fasthttp.StatusBadRequest, Code: codeMalformed})
		return
	}
	engine.mutex.Lock()
	refused := engine.checkToken(body.FencingToken)
	if refused == nil {
		engine.role = body.Role
	}
	engine.mutex.Unlock()
	refuse(ctx, refused)
}

func (engine *Engine) handleOrder(ctx *fasthttp.RequestCtx, parts []string) {
	switch {
	case len(parts) == 3 && parts[1] == "pieces" && ctx.IsPut():
		index, err := strconv.Atoi(parts[2])
		if err != nil {
			refuse(ctx, &refusal{status: fasthttp.StatusBadRequest, Code: codeMalformed})
			return
		}
		refuse(ctx, engine.add(parts[0], index, ctx.PostBody()))
	case len(parts) == 2 && parts[1] == "commit":
		var body commitRequest
		if decode(ctx, &body) {
			refuse(ctx, engine.commit(parts[0], body.FencingToken))
		}
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func decode(ctx *fasthttp.RequestCtx, into any) bool {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		refuse(ctx, &refusal{status: fasthttp.StatusBadRequest, Code: codeMalformed})
		return false
	}
	return true
}

func refuse(ctx *fasthttp.RequestCtx, refused *refusal) {
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

package requests

// Callers are not under control. What their requests and answers make the entry hold is taken
// from the accounts of their connections, so that many callers can't take the memory of the
// host. What does not fit is refused before anything of it leaves the entry.

import (
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"firford/lib/budgets"
)

const (
	// chunked is the length that fasthttp states for a body in chunks.
	chunked = -1
	// firstBodyBytes is the initial size of the buffer for a body.
	firstBodyBytes = 4 << 10
	// bodyCopies is how often a body is in memory while its request runs: as it came, with its
	// arguments decoded, and in the message to the agent, whose buffer grows by doubling.
	bodyCopies = 4
	// trailerBytes is what the trailer of a body in chunks may take when fasthttp has parsed it:
	// some 2,700 lines in maxHeaderBytes.
	trailerBytes = 320 << 10
	// answerCopies is the same for an answer that is not streamed.
	answerCopies = 3
)

// noRoomForAnswer is the outcome of a request whose answer the entry can't hold.
var noRoomForAnswer = Unknown{Code: CodeOutcomeUnknown, Message: "the entry has no memory left for the answer"}

// connOf returns the caller's connection.
func connOf(ctx *fasthttp.RequestCtx) *budgets.Conn { return ctx.Conn().(lingeringConn).Conn }

// takeHead takes what the head of a request holds beyond what was taken while it was read.
func takeHead(ctx *fasthttp.RequestCtx) error {
	bytes := headBytes(ctx)
	closeAfterLargeHead(ctx, bytes)
	return connOf(ctx).Account().TakeAtLeast(budgets.Requests, bytes)
}

// closeAfterLargeHead closes the connection after its answer if the head is large, since
// fasthttp keeps the memory of a parsed head for as long as the connection is open.
func closeAfterLargeHead(ctx *fasthttp.RequestCtx, headBytes int64) {
	if headBytes > budgets.SmallBytes {
		ctx.SetConnectionClose()
	}
}

// headBytes returns what the head of a request takes in memory, with a trailer that was read.
func headBytes(ctx *fasthttp.RequestCtx) int64 {
	lines, length := 0, 0
	for name, value := range ctx.Request.Header.All() {
		lines++
		length += len(name) + len(value)
	}
	return budgets.HeadBytes(length, lines)
}

// crowded refuses a request since callers hold too much.
func crowded() *rejection {
	return &rejection{status: fasthttp.StatusServiceUnavailable, refusal: NotRun{
		Code: CodeOverloaded, Message: "callers hold too much memory of the entry", RetryAt: time.Now().Add(budgets.RetryAfter),
	}}
}

// refuseCrowded answers so, and closes the connection, from which a part of the request may
// not have been read.
func (server *APIServer) refuseCrowded(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	rejected := crowded()
	server.writeRefusal(ctx, rejected.status, rejected.refusal)
}

// readBody reads the body of a request in the account of its caller.
func readBody(ctx *fasthttp.RequestCtx) ([]byte, *rejection) {
	limit := MaxBodyBytes
	declared := ctx.Request.Header.ContentLength()
	if declared > limit {
		return nil, bodyTooLarge()
	}
	if declared >= 0 {
		limit = declared
	}
	account := connOf(ctx).Account()
	body, err := takeBody(ctx, account, limit)
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return nil, bodyTooLarge()
	case account.IsRefusal(err):
		ctx.SetConnectionClose()
		return nil, crowded()
	case err != nil:
		return nil, newRejection(fasthttp.StatusBadRequest, CodeMalformed, "the request could not be read")
	}
	return body, nil
}

// takeBody reads a body and its trailer, which fasthttp parses as it comes.
func takeBody(ctx *fasthttp.RequestCtx, account *budgets.Account, limit int) ([]byte, error) {
	if ctx.Request.Header.ContentLength() == chunked {
		if err := account.Take(budgets.Requests, trailerBytes); err != nil {
			return nil, err
		}
		defer func() { closeAfterLargeHead(ctx, headBytes(ctx)) }()
	}
	return bufferBody(ctx.RequestBodyStream(), account, limit)
}

func bufferBody(stream io.Reader, account *budgets.Account, limit int) ([]byte, error) {
	if stream == nil {
		return nil, nil
	}
	if err := account.Enter(budgets.ReceivingBody); err != nil {
		return nil, err
	}
	var body []byte
	for {
		if len(body) > limit {
			return nil, fasthttp.ErrBodyTooLarge
		}
		if len(body) == cap(body) {
			capacity := min(max(2*cap(body), firstBodyBytes), limit+1)
			if err := account.Take(budgets.Requests, bodyCopies*int64(capacity-cap(body))); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, capacity), body...)
		}
		count, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		if err == io.EOF {
			return body, account.Enter(budgets.Serving)
		}
		if err != nil {
			return nil, err
		}
	}
}

package engines

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// DefaultSilenceLimit is the time after which a connection without progress
	// is given up.
	DefaultSilenceLimit = 3 * time.Second
	// DefaultMaxConnections is how many connections a client opens at most.
	DefaultMaxConnections = 512
)

type (
	// Options are the settings of a client. Zero values mean the defaults.
	Options struct {
		Address        string
		SilenceLimit   time.Duration
		MaxConnections int
	}

	// Client speaks to one backend server. It is safe for concurrent use.
	Client struct {
		options Options
		pool    *pool
		probe   probe
	}

	generateBody struct {
		RequestID  string `json:"request_id"`
		Prompt     string `json:"prompt"`
		MaxTokens  int    `json:"max_tokens"`
		Priority   int    `json:"priority"`
		ResumeFrom int    `json:"resume_from"`
	}

	callBody struct {
		RequestID string          `json:"request_id"`
		Call      string          `json:"call"`
		Arguments json.RawMessage `json:"arguments"`
	}

	callHead struct {
		RequestID string `json:"request_id"`
		Version   string `json:"version"`
	}

	cancelBody struct {
		RequestID string `json:"request_id"`
	}

	commitBody struct {
		FencingToken int64 `json:"fencing_token"`
	}
)

// New returns a client. It opens no connection until the first call.
func New(options Options) *Client {
	if options.SilenceLimit <= 0 {
		options.SilenceLimit = DefaultSilenceLimit
	}
	if options.MaxConnections <= 0 {
		options.MaxConnections = DefaultMaxConnections
	}
	return &Client{options: options, pool: newPool(options)}
}

// Close closes the idle connections; exchanges under way end by their context.
func (client *Client) Close() {
	client.pool.close()
}

// Generate runs the request and hands its tokens to deliver in order. The end of
// the context closes the connection, which cancels the request at the engine.
// After an error the delivered tokens are valid, and the request can be resumed
// after the last one.
func (client *Client) Generate(ctx context.Context, generation Generation, deliver func(Token)) (Completion, error) {
	request := client.post("/v1/generate", generateBody{
		RequestID:  generation.RequestID,
		Prompt:     generation.Prompt,
		MaxTokens:  generation.MaxTokens,
		Priority:   generation.Priority,
		ResumeFrom: generation.ResumeFrom,
	})
	defer fasthttp.ReleaseRequest(request)
	current, err := client.begin(ctx, request, true, generation.AtMostOnce, true)
	if err != nil {
		return Completion{}, err
	}
	reader := bufio.NewReaderSize(current.response.BodyStream(), maxLineBytes)
	completion, err := current.follow(reader, newDecoder(generation.ResumeFrom), deliver)
	if err != nil {
		err = current.broken(err)
		current.end(false)
		return Completion{}, err
	}
	_, rest := reader.ReadByte()
	current.end(errors.Is(rest, io.EOF))
	return completion, nil
}

func (current *exchange) follow(reader *bufio.Reader, state decoder, deliver func(Token)) (Completion, error) {
	for {
		line, err := readLine(reader)
		if err != nil {
			return Completion{}, err
		}
		current.advance()
		var decoded event
		state, decoded, err = state.With(line)
		if err != nil {
			return Completion{}, err
		}
		switch decoded := decoded.(type) {
		case tokenEvent:
			deliver(decoded.token)
		case doneEvent:
			return decoded.completion, nil
		default:
			return Completion{}, fmt.Errorf("unknown event %T", decoded)
		}
	}
}

// Call runs one call of a plain service.
func (client *Client) Call(ctx context.Context, call Call) (Answer, error) {
	request := client.post("/v1/call", callBody{RequestID: call.RequestID, Call: call.Call, Arguments: call.Arguments})
	defer fasthttp.ReleaseRequest(request)
	body, err := client.whole(ctx, request, call.AtMostOnce, true)
	if err != nil {
		return Answer{}, err
	}
	return decodeAnswer(body, call.RequestID)
}

func decodeAnswer(body []byte, requestID string) (Answer, error) {
	var head callHead
	if err := json.Unmarshal(body, &head); err != nil {
		return Answer{}, &InterruptedError{Err: fmt.Errorf("answer of a call: %w", err)}
	}
	if head.RequestID != "" && head.RequestID != requestID {
		return Answer{}, &InterruptedError{Err: fmt.Errorf("answer of a call belongs to request %q", head.RequestID)}
	}
	return Answer{Version: head.Version, Body: body}, nil
}

// Status asks the backend server for its state. A pooled connection that fails
// is replaced by a new one.
func (client *Client) Status(ctx context.Context) (Status, error) {
	bounded, cancel := context.WithTimeout(ctx, client.options.SilenceLimit/3)
	status, err := client.status(bounded, false)
	cancel()
	if err == nil || ctx.Err() != nil {
		return status, err
	}
	bounded, cancel = context.WithTimeout(ctx, client.options.SilenceLimit/3)
	defer cancel()
	return client.status(bounded, true)
}

func (client *Client) status(ctx context.Context, fresh bool) (Status, error) {
	request := client.request(fasthttp.MethodGet, "/v1/status")
	defer fasthttp.ReleaseRequest(request)
	body, err := client.whole(ctx, request, fresh, false)
	if err != nil {
		return Status{}, err
	}
	return decodeStatus(body)
}

func decodeStatus(body []byte) (Status, error) {
	var status Status
	if err := json.Unmarshal(body, &status); err != nil {
		return Status{}, &InterruptedError{Err: fmt.Errorf("status: %w", err)}
	}
	if status.Slots < 0 || status.Running < 0 || status.Queued < 0 {
		return Status{}, &InterruptedError{Err: fmt.Errorf("status: negative load %+v", status)}
	}
	return status, nil
}

// SendOrder announces a version. It may be repeated with the same order.
func (client *Client) SendOrder(ctx context.Context, order Order) error {
	return client.command(ctx, client.post("/v1/orders", order))
}

// SendPiece sends one piece of an order; the first has index 0. It may be repeated.
func (client *Client) SendPiece(ctx context.Context, orderID string, index int, content []byte) error {
	request := client.request(fasthttp.MethodPut, "/v1/orders/"+orderID+"/pieces/"+strconv.Itoa(index))
	request.SetBodyRaw(content)
	return client.command(ctx, request)
}

// CommitOrder makes the engine load the version of the order. It returns when the
// load has begun; the status tells when it has ended. It may be repeated.
func (client *Client) CommitOrder(ctx context.Context, orderID string, fencingToken int64) error {
	return client.command(ctx, client.post("/v1/orders/"+orderID+"/commit", commitBody{FencingToken: fencingToken}))
}

// Cancel ends every running request with the id.
func (client *Client) Cancel(ctx context.Context, requestID string) error {
	return client.command(ctx, client.post("/v1/cancel", cancelBody{RequestID: requestID}))
}

func (client *Client) command(ctx context.Context, request *fasthttp.Request) error {
	defer fasthttp.ReleaseRequest(request)
	_, err := client.whole(ctx, request, false, true)
	return err
}

// whole runs an exchange and returns a copy of the answer's body.
func (client *Client) whole(ctx context.Context, request *fasthttp.Request, fresh, guarded bool) ([]byte, error) {
	current, err := client.begin(ctx, request, false, fresh, guarded)
	if err != nil {
		return nil, err
	}
	body := append([]byte(nil), current.response.Body()...)
	current.end(true)
	return body, nil
}

func (client *Client) request(method, path string) *fasthttp.Request {
	request := fasthttp.AcquireRequest()
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + client.options.Address + path)
	return request
}

func (client *Client) post(path string, body any) *fasthttp.Request {
	request := client.request(fasthttp.MethodPost, path)
	encoded, err := json.Marshal(body)
	if err != nil {
		// Arguments that aren't JSON reach the server as an empty body, which it
		// refuses as malformed.
		encoded = nil
	}
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(encoded)
	return request
}

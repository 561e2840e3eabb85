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
	// DefaultSilenceLimit is the time without progress after which a connection is
	// closed.
	DefaultSilenceLimit = 3 * time.Second
	// DefaultMaxConnections limits the connections that a client uses at the same
	// time.
	DefaultMaxConnections = 512
)

type (
	// Options are the settings of a client. Zero values select the defaults.
	Options struct {
		Address        string
		SilenceLimit   time.Duration
		MaxConnections int
	}

	// Client sends requests and orders to one backend server. It is safe for
	// concurrent use.
	Client struct {
		options  Options
		pool     *pool
		liveness livenessProbe
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

	answerHeader struct {
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

// New returns a client. It opens no connection before the first call.
func New(options Options) *Client {
	if options.SilenceLimit <= 0 {
		options.SilenceLimit = DefaultSilenceLimit
	}
	if options.MaxConnections <= 0 {
		options.MaxConnections = DefaultMaxConnections
	}
	return &Client{options: options, pool: newPool(options)}
}

// Close closes the idle connections. Exchanges in progress end with their
// context.
func (client *Client) Close() {
	client.pool.close()
}

// Generate runs the request and passes its tokens to deliver in order. The end
// of the context closes the connection, which cancels the request at the
// engine. After an error the delivered tokens are valid, and the request can be
// resumed after the last of them.
func (client *Client) Generate(ctx context.Context, generation Generation, deliver func(Token)) (Completion, error) {
	request := client.newPost("/v1/generate", generateBody{
		RequestID:  generation.RequestID,
		Prompt:     generation.Prompt,
		MaxTokens:  generation.MaxTokens,
		Priority:   generation.Priority,
		ResumeFrom: generation.ResumeFrom,
	})
	defer fasthttp.ReleaseRequest(request)
	exchange, err := client.startExchange(ctx, request, true, generation.AtMostOnce, true)
	if err != nil {
		return Completion{}, err
	}
	reader := bufio.NewReaderSize(exchange.response.BodyStream(), maxLineBytes)
	completion, err := exchange.readTokens(reader, generation, deliver)
	if err != nil {
		err = exchange.interruption(err)
		exchange.finish(false)
		return Completion{}, err
	}
	_, endErr := reader.ReadByte()
	exchange.finish(errors.Is(endErr, io.EOF))
	return completion, nil
}

// readTokens reads the stream to its final line. More tokens than the generation
// requests are an error, so that a stream without end fails.
func (exchange *exchange) readTokens(reader *bufio.Reader, generation Generation, deliver func(Token)) (Completion, error) {
	state := newDecoder(generation.ResumeFrom)
	for {
		line, err := readLine(reader)
		if err != nil {
			return Completion{}, err
		}
		exchange.recordProgress()
		var decoded event
		state, decoded, err = state.decodeLine(line)
		if err != nil {
			return Completion{}, err
		}
		switch decoded := decoded.(type) {
		case tokenEvent:
			if decoded.token.Sequence > generation.MaxTokens {
				return Completion{}, fmt.Errorf("received more than the %d requested tokens", generation.MaxTokens)
			}
			deliver(decoded.token)
		case doneEvent:
			return decoded.completion, nil
		default:
			return Completion{}, fmt.Errorf("unexpected stream event %T", decoded)
		}
	}
}

// Call sends a call to a plain service and returns its answer.
func (client *Client) Call(ctx context.Context, call Call) (Answer, error) {
	request := client.newPost("/v1/call", callBody{RequestID: call.RequestID, Call: call.Call, Arguments: call.Arguments})
	defer fasthttp.ReleaseRequest(request)
	body, err := client.roundTrip(ctx, request, call.AtMostOnce, true)
	if err != nil {
		return Answer{}, err
	}
	return decodeAnswer(body, call.RequestID)
}

func decodeAnswer(body []byte, requestID string) (Answer, error) {
	var header answerHeader
	if err := json.Unmarshal(body, &header); err != nil {
		return Answer{}, &InterruptedError{Err: fmt.Errorf("decode answer of a call: %w", err)}
	}
	if header.RequestID != "" && header.RequestID != requestID {
		return Answer{}, &InterruptedError{Err: fmt.Errorf("answer of a call belongs to request %q", header.RequestID)}
	}
	return Answer{Version: header.Version, Body: body}, nil
}

// Status fetches the state of the backend server. If that fails it tries once
// more on a new connection, because a pooled connection may no longer work.
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

func (client *Client) status(ctx context.Context, newConnection bool) (Status, error) {
	request := client.newRequest(fasthttp.MethodGet, "/v1/status")
	defer fasthttp.ReleaseRequest(request)
	body, err := client.roundTrip(ctx, request, newConnection, false)
	if err != nil {
		return Status{}, err
	}
	return decodeStatus(body)
}

func decodeStatus(body []byte) (Status, error) {
	var status Status
	if err := json.Unmarshal(body, &status); err != nil {
		return Status{}, &InterruptedError{Err: fmt.Errorf("decode status: %w", err)}
	}
	if status.Slots < 0 || status.Running < 0 || status.Queued < 0 {
		return Status{}, &InterruptedError{Err: fmt.Errorf("status: negative load %+v", status)}
	}
	return status, nil
}

// SendOrder announces a version. It may be repeated with the same order.
func (client *Client) SendOrder(ctx context.Context, order Order) error {
	return client.sendCommand(ctx, client.newPost("/v1/orders", order))
}

// SendPiece sends one piece of an order; the first has index 0. It may be
// repeated.
func (client *Client) SendPiece(ctx context.Context, orderID string, index int, content []byte) error {
	request := client.newRequest(fasthttp.MethodPut, "/v1/orders/"+orderID+"/pieces/"+strconv.Itoa(index))
	request.SetBodyRaw(content)
	return client.sendCommand(ctx, request)
}

// CommitOrder makes the engine load the version of the order. It returns when
// the load has begun; the status tells when it has ended. It may be repeated.
func (client *Client) CommitOrder(ctx context.Context, orderID string, fencingToken int64) error {
	return client.sendCommand(ctx, client.newPost("/v1/orders/"+orderID+"/commit", commitBody{FencingToken: fencingToken}))
}

// Cancel ends every running request with the id.
func (client *Client) Cancel(ctx context.Context, requestID string) error {
	return client.sendCommand(ctx, client.newPost("/v1/cancel", cancelBody{RequestID: requestID}))
}

func (client *Client) sendCommand(ctx context.Context, request *fasthttp.Request) error {
	defer fasthttp.ReleaseRequest(request)
	_, err := client.roundTrip(ctx, request, false, true)
	return err
}

// roundTrip runs an exchange and returns a copy of the answer's body. See
// startExchange for the parameters.
func (client *Client) roundTrip(ctx context.Context, request *fasthttp.Request, newConnection, monitored bool) ([]byte, error) {
	exchange, err := client.startExchange(ctx, request, false, newConnection, monitored)
	if err != nil {
		return nil, err
	}
	body := append([]byte(nil), exchange.response.Body()...)
	exchange.finish(true)
	return body, nil
}

func (client *Client) newRequest(method, path string) *fasthttp.Request {
	request := fasthttp.AcquireRequest()
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + client.options.Address + path)
	return request
}

func (client *Client) newPost(path string, body any) *fasthttp.Request {
	request := client.newRequest(fasthttp.MethodPost, path)
	encoded, err := json.Marshal(body)
	if err != nil {
		// Arguments that aren't valid JSON lead to an empty body, which the server
		// refuses as malformed.
		encoded = nil
	}
	request.Header.SetContentType("application/json")
	request.SetBodyRaw(encoded)
	return request
}

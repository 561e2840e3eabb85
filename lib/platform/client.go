package platform

// The platform's services are called over HTTP. After a failed write, the caller must
// know whether it may have taken effect, so the errors distinguish requests that were
// never sent from requests whose response was lost.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"firford/lib/dialers"
	"firford/lib/hosts"
)

const (
	// requestTimeout bounds a request whose context has no deadline. A store that is
	// slow but available answers within a second.
	requestTimeout = 5 * time.Second
	// weightsTimeout bounds transfers of weights. It is long because they wait for the
	// origin's link and are bounded by their progress instead.
	weightsTimeout = 10 * time.Minute
	// maxResponseBytes bounds answers whose length is not known before. Reading one takes up
	// to four times as much memory, and a process may take 256 MB.
	maxResponseBytes = 32 << 20
	maxConnections   = 64
)

type (
	// Client is a client of all services of the platform, which share one address. It
	// implements Table, ObjectStore and Membership; Weights returns the weight store.
	// It is safe for concurrent use.
	Client struct {
		base  string
		token string
		http  *fasthttp.Client
	}

	// Weights is a client of the weight store. It implements WeightStore.
	Weights struct {
		client *Client
	}

	transaction struct {
		Conditions []Condition `json:"conditions"`
		Writes     []Write     `json:"writes"`
	}

	transactionResult struct {
		Revision int64 `json:"revision"`
		Rows     []Row `json:"rows"`
	}

	rowList struct {
		Rows []Row `json:"rows"`
	}

	hostList struct {
		Hosts []hosts.Host `json:"hosts"`
	}
)

// New returns a client of the platform at the address, an IP address and port. The
// token authenticates the process with the platform.
func New(address, token string) *Client {
	return &Client{
		base:  "http://" + address,
		token: token,
		http: &fasthttp.Client{
			MaxConnsPerHost:           maxConnections,
			MaxResponseBodySize:       maxResponseBytes,
			MaxIdemponentCallAttempts: 1,
			Dial: func(address string) (net.Conn, error) {
				conn, err := fasthttp.DialTimeout(address, time.Second)
				if err != nil {
					return nil, err
				}
				return dialers.WithoutUnrequestedBytes(conn), nil
			},
		},
	}
}

// Weights returns the client of the weight store.
func (client *Client) Weights() Weights {
	return Weights{client: client}
}

// do sends one request and returns the status and the body of the response. An error
// means that no response arrived; sent reports whether the request may have reached
// the platform.
func (client *Client) do(ctx context.Context, method, path string, prepare func(*fasthttp.Request)) (status int, body []byte, sent bool, err error) {
	return client.doBounded(ctx, method, path, 0, prepare)
}

// doBounded does so for a response whose body has at most maxBytes, unless that is zero. A
// longer one is an error, and no more of it is read or kept.
func (client *Client) doBounded(ctx context.Context, method, path string, maxBytes int64, prepare func(*fasthttp.Request)) (status int, body []byte, sent bool, err error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(client.base + path)
	request.Header.Set("Authorization", "Bearer "+client.token)
	if prepare != nil {
		prepare(request)
	}
	response.StreamBody = maxBytes > 0
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		deadline = time.Now().Add(requestTimeout)
	}
	if ctx.Err() != nil || !time.Now().Before(deadline) {
		return 0, nil, false, context.Cause(ctx)
	}
	err = client.http.DoDeadline(request, response, deadline)
	if errors.Is(err, dialers.ErrUnrequestedBytes) && !request.IsBodyStream() {
		// Nothing was sent, and the connection is closed. A stream was read in part.
		err = client.http.DoDeadline(request, response, deadline)
	}
	if err != nil {
		return 0, nil, !isUnsent(err), err
	}
	if maxBytes > 0 {
		body, err = readBounded(response, maxBytes)
		return response.StatusCode(), body, true, err
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), true, nil
}

// readBounded reads a body of at most maxBytes. The connection of a longer one is closed.
func readBounded(response *fasthttp.Response, maxBytes int64) ([]byte, error) {
	body := make([]byte, maxBytes+1)
	count, err := io.ReadFull(response.BodyStream(), body)
	closeErr := response.CloseBodyStream()
	switch {
	case err == nil:
		return nil, fasthttp.ErrBodyTooLarge
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return body[:count], closeErr
	default:
		return nil, err
	}
}

// isUnsent reports whether nothing was sent, since no connection was made or the open one
// held an earlier answer.
func isUnsent(err error) bool {
	var operation *net.OpError
	return errors.Is(err, dialers.ErrUnrequestedBytes) || errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) ||
		errors.As(err, &operation) && operation.Op == "dial"
}

// Transact implements Table.
func (client *Client) Transact(ctx context.Context, conditions []Condition, writes []Write) (int64, error) {
	encoded, err := json.Marshal(transaction{Conditions: conditions, Writes: writes})
	if err != nil {
		return 0, fmt.Errorf("encode transaction: %w", err)
	}
	status, body, sent, err := client.do(ctx, fasthttp.MethodPost, "/table/transact", func(request *fasthttp.Request) {
		request.SetBodyRaw(encoded)
	})
	switch {
	case err != nil && sent:
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	case err != nil:
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests:
		return 0, ErrUnavailable
	case status != fasthttp.StatusOK && status != fasthttp.StatusConflict:
		return 0, fmt.Errorf("%w: status %d", ErrOutcomeUnknown, status)
	}
	var result transactionResult
	if err := json.Unmarshal(body, &result); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	if status == fasthttp.StatusConflict {
		return 0, &ConflictError{Rows: result.Rows}
	}
	return result.Revision, nil
}

// read returns the body at the path, and decodes it as JSON into decoded unless that
// is nil.
func (client *Client) read(ctx context.Context, path string, decoded any) ([]byte, error) {
	status, body, _, err := client.do(ctx, fasthttp.MethodGet, path, nil)
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case status == fasthttp.StatusNotFound:
		return nil, ErrNotFound
	case status != fasthttp.StatusOK:
		return nil, fmt.Errorf("%w: status %d", ErrUnavailable, status)
	}
	if decoded == nil {
		return body, nil
	}
	if err := json.Unmarshal(body, decoded); err != nil {
		return nil, fmt.Errorf("decode %s: %w", path, err)
	}
	return body, nil
}

// Read implements Table.
func (client *Client) Read(ctx context.Context, key string) (Row, error) {
	var row Row
	_, err := client.read(ctx, "/table/row?key="+url.QueryEscape(key), &row)
	return row, err
}

// Scan implements Table.
func (client *Client) Scan(ctx context.Context, prefix string, after int64) ([]Row, error) {
	var list rowList
	_, err := client.read(ctx, "/table/scan?prefix="+url.QueryEscape(prefix)+"&after="+strconv.FormatInt(after, 10), &list)
	return list.Rows, err
}

// Get implements ObjectStore.
func (client *Client) Get(ctx context.Context, name string) ([]byte, error) {
	return client.read(ctx, "/objects/"+url.PathEscape(name), nil)
}

// Put implements ObjectStore.
func (client *Client) Put(ctx context.Context, name string, body []byte) error {
	return client.put(ctx, "/objects/"+url.PathEscape(name), func(request *fasthttp.Request) {
		request.SetBodyRaw(body)
	})
}

func (client *Client) put(ctx context.Context, path string, prepare func(*fasthttp.Request)) error {
	status, _, sent, err := client.do(ctx, fasthttp.MethodPut, path, prepare)
	switch {
	case err != nil && sent:
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	case err != nil:
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	case status != fasthttp.StatusOK:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	}
	return nil
}

// List implements Membership.
func (client *Client) List(ctx context.Context) ([]hosts.Host, error) {
	var list hostList
	_, err := client.read(ctx, "/membership", &list)
	return list.Hosts, err
}

// Put implements WeightStore.
func (weights Weights) Put(ctx context.Context, name string, body io.Reader, size int64) error {
	ctx, cancel := context.WithTimeout(ctx, weightsTimeout)
	defer cancel()
	return weights.client.put(ctx, "/weights/"+url.PathEscape(name), func(request *fasthttp.Request) {
		request.SetBodyStream(body, int(size))
	})
}

// ReadRange implements WeightStore. It may wait long for the origin's link, bounded by
// the context.
func (weights Weights) ReadRange(ctx context.Context, name string, offset, length int64) ([]byte, error) {
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, weightsTimeout)
		defer cancel()
	}
	status, body, _, err := weights.client.doBounded(ctx, fasthttp.MethodGet, "/weights/"+url.PathEscape(name), length, func(request *fasthttp.Request) {
		request.Header.SetByteRange(int(offset), int(offset+length-1))
	})
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case status == fasthttp.StatusNotFound:
		return nil, ErrNotFound
	case status != fasthttp.StatusPartialContent:
		return nil, fmt.Errorf("%w: status %d", ErrUnavailable, status)
	case int64(len(body)) != length:
		return nil, fmt.Errorf("weights %s: %d bytes instead of %d", name, len(body), length)
	}
	return body, nil
}

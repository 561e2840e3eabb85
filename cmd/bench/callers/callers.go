// Package callers sends requests to a fleet over HTTP, as the organisations' own
// programs do, and records how each request ended for its caller.
//
// Every answer is verified. The fake engines compute each token from the request
// id, the prompt and the version, which reveals the answer of another request and
// answers that are partial or mixed from several versions.
package callers

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"firford/cmd/fakeengine/tokens"
)

// Outcomes as a caller sees them. All but OutcomeLost are outcomes of the API.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "not_run"
	OutcomeUnknown  = "unknown"
	// OutcomeLost means that the connection ended before an outcome arrived.
	OutcomeLost = "lost"
)

const (
	dialTimeout = time.Second
	// responseGrace is how long after its deadline a request may still get a response.
	responseGrace  = 2 * time.Second
	maxLineBytes   = 1 << 20
	maxConnections = 4096
)

type (
	// RequestRecord is the caller's record of one request. Mismatch says how the
	// answer differs from the expected one, and is empty for a correct answer.
	// RequestID is empty if no response named one.
	RequestRecord struct {
		Key        string    `json:"key"`
		RequestID  string    `json:"request_id"`
		Entry      string    `json:"entry"`
		Deployment string    `json:"deployment"`
		Idempotent bool      `json:"idempotent"`
		Outcome    string    `json:"outcome"`
		Code       string    `json:"code"`
		Version    string    `json:"version"`
		Mismatch   string    `json:"wrong"`
		Attempts   int       `json:"tries"`
		Started    time.Time `json:"started"`
		FirstPart  time.Time `json:"first_part"`
		Ended      time.Time `json:"ended"`
		Deadline   time.Time `json:"deadline"`
	}

	// Request is one request of a caller. Service selects a call to a plain service
	// in place of a completion by an engine.
	Request struct {
		Key        string
		Token      string
		Deployment string
		Service    bool
		Idempotent bool
		Prompt     string
		MaxTokens  int
		Deadline   time.Time
	}

	// Client sends requests to entries. It is safe for concurrent use.
	Client struct {
		http *fasthttp.Client
	}

	requestBody struct {
		Prompt    string `json:"prompt,omitempty"`
		MaxTokens int    `json:"max_tokens,omitempty"`
		Stream    bool   `json:"stream,omitempty"`
		Call      string `json:"call,omitempty"`
		Arguments string `json:"arguments,omitempty"`
	}

	// responseLine is one line of a streamed answer, or a complete answer that is not
	// streamed.
	responseLine struct {
		Part    int    `json:"part"`
		Text    string `json:"text"`
		Outcome string `json:"outcome"`
		Code    string `json:"code"`
		Version string `json:"version"`
		Parts   int    `json:"parts"`
		Body    struct {
			Result string `json:"result"`
		} `json:"body"`
	}
)

const callName = "lookup"

var errNoOutcome = errors.New("the answer ended without an outcome")

// NewClient returns a client that never retries a request by itself.
func NewClient() *Client {
	return &Client{http: &fasthttp.Client{
		MaxConnsPerHost:           maxConnections,
		MaxIdemponentCallAttempts: 1,
		StreamResponseBody:        true,
		Dial: func(address string) (net.Conn, error) {
			return fasthttp.DialTimeout(address, dialTimeout)
		},
	}}
}

// Send sends the request to an entry once and stores the outcome in the record.
func (client *Client) Send(address string, request Request, record *RequestRecord) {
	httpRequest, httpResponse := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpRequest)
	defer fasthttp.ReleaseResponse(httpResponse)
	request.encode(httpRequest, address)
	record.Attempts++
	record.Outcome, record.Code = OutcomeLost, ""
	defer func() { record.Ended = time.Now() }()
	if err := client.http.DoDeadline(httpRequest, httpResponse, request.Deadline.Add(responseGrace)); err != nil {
		record.Code = err.Error()
		return
	}
	if id := string(httpResponse.Header.Peek("Request-Id")); id != "" {
		record.RequestID = id
	}
	var err error
	if stream := httpResponse.BodyStream(); stream != nil {
		err = request.readResponse(stream, record)
	} else {
		err = request.readResponse(bytes.NewReader(httpResponse.Body()), record)
	}
	if err != nil {
		record.Outcome, record.Code = OutcomeLost, err.Error()
	}
}

func (request Request) encode(httpRequest *fasthttp.Request, address string) {
	httpRequest.Header.SetMethod(fasthttp.MethodPost)
	httpRequest.SetRequestURI("http://" + address + "/v1/deployments/" + request.Deployment + "/requests")
	httpRequest.Header.Set("Authorization", "Bearer "+request.Token)
	httpRequest.Header.Set("Request-Key", request.Key)
	httpRequest.Header.Set("Idempotent", strconv.FormatBool(request.Idempotent))
	httpRequest.Header.Set("Budget-Ms", strconv.FormatInt(max(1, time.Until(request.Deadline).Milliseconds()), 10))
	body := requestBody{Prompt: request.Prompt, MaxTokens: request.MaxTokens, Stream: true}
	if request.Service {
		body = requestBody{Call: callName, Arguments: request.Prompt}
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("encode request body of strings and numbers: %v", err))
	}
	httpRequest.SetBodyRaw(encoded)
}

// readResponse reads the answer line by line and stores its outcome in the record.
func (request Request) readResponse(stream io.Reader, record *RequestRecord) error {
	lines := bufio.NewScanner(stream)
	lines.Buffer(nil, maxLineBytes)
	var text strings.Builder
	parts := 0
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var line responseLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return fmt.Errorf("decode line of the answer: %w", err)
		}
		if line.Outcome != "" {
			record.Outcome, record.Code, record.Version = line.Outcome, line.Code, line.Version
			if line.Outcome == OutcomeAnswered {
				record.Mismatch = request.findMismatch(line, text.String(), parts, record.RequestID)
			}
			return nil
		}
		if record.FirstPart.IsZero() {
			record.FirstPart = time.Now()
		}
		parts++
		if line.Part != parts {
			return fmt.Errorf("received part %d, expected part %d", line.Part, parts)
		}
		text.WriteString(line.Text)
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errNoOutcome
}

// findMismatch returns how the answer differs from the expected one, or an empty
// string if it does not.
func (request Request) findMismatch(last responseLine, text string, parts int, requestID string) string {
	if request.Service {
		arguments, _ := json.Marshal(request.Prompt) // A string always encodes.
		if want := tokens.CallResult(requestID, callName, arguments); last.Body.Result != want {
			return fmt.Sprintf("result %q instead of %q", last.Body.Result, want)
		}
		return ""
	}
	if last.Parts != parts {
		return fmt.Sprintf("%d of %d parts", parts, last.Parts)
	}
	if want := tokens.New(requestID, request.Prompt, last.Version).Text(1, request.MaxTokens); text != want {
		return fmt.Sprintf("text %.40q instead of %.40q for version %s", text, want, last.Version)
	}
	return ""
}

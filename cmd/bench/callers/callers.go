// Package callers keeps asking a fleet over HTTP, as the organisations' own
// programs do, and records from outside how each request ended.
//
// Every answer is verified: the stand-ins compute each token from the request,
// the prompt and the version, so a foreign, partial or mixed answer shows.
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

// Outcomes as a caller sees them. The first three are those of the API.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "not_run"
	OutcomeUnknown  = "unknown"
	// OutcomeLost means that the connection ended without an outcome.
	OutcomeLost = "lost"
)

const (
	dialTimeout  = time.Second
	readGrace    = 2 * time.Second
	maxLineBytes = 1 << 20
	connections  = 4096
)

type (
	// RequestRecord is one request as its caller has recorded it. Mismatch tells how an
	// answer differs from the one that the request should have; it is empty for a
	// whole answer of its own. RequestID is empty where no answer named one.
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

	// Request is what a caller wants to know.
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

	// Client sends questions to entries. It is safe for concurrent use.
	Client struct {
		http *fasthttp.Client
	}

	questionBody struct {
		Prompt    string `json:"prompt,omitempty"`
		MaxTokens int    `json:"max_tokens,omitempty"`
		Stream    bool   `json:"stream,omitempty"`
		Call      string `json:"call,omitempty"`
		Arguments string `json:"arguments,omitempty"`
	}

	// answerLine is a line of a streamed answer, or the whole of another one.
	answerLine struct {
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

// NewClient returns a client that never repeats a request by itself.
func NewClient() *Client {
	return &Client{http: &fasthttp.Client{
		MaxConnsPerHost:           connections,
		MaxIdemponentCallAttempts: 1,
		StreamResponseBody:        true,
		Dial: func(address string) (net.Conn, error) {
			return fasthttp.DialTimeout(address, dialTimeout)
		},
	}}
}

// Send sends the question to an entry once and fills in how it ended.
func (asker *Client) Send(address string, question Request, asked *RequestRecord) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	question.prepare(request, address)
	asked.Attempts++
	asked.Outcome, asked.Code = OutcomeLost, ""
	defer func() { asked.Ended = time.Now() }()
	if err := asker.http.DoDeadline(request, response, question.Deadline.Add(readGrace)); err != nil {
		asked.Code = err.Error()
		return
	}
	if id := string(response.Header.Peek("Request-Id")); id != "" {
		asked.RequestID = id
	}
	var err error
	if stream := response.BodyStream(); stream != nil {
		err = question.read(stream, asked)
	} else {
		err = question.read(bytes.NewReader(response.Body()), asked)
	}
	if err != nil {
		asked.Outcome, asked.Code = OutcomeLost, err.Error()
	}
}

func (question Request) prepare(request *fasthttp.Request, address string) {
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + "/v1/deployments/" + question.Deployment + "/requests")
	request.Header.Set("Authorization", "Bearer "+question.Token)
	request.Header.Set("Request-Key", question.Key)
	request.Header.Set("Idempotent", strconv.FormatBool(question.Idempotent))
	request.Header.Set("Budget-Ms", strconv.FormatInt(max(1, time.Until(question.Deadline).Milliseconds()), 10))
	body := questionBody{Prompt: question.Prompt, MaxTokens: question.MaxTokens, Stream: true}
	if question.Service {
		body = questionBody{Call: callName, Arguments: question.Prompt}
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprintf("a question holds only strings and numbers: %v", err))
	}
	request.SetBodyRaw(encoded)
}

// read takes the answer in line by line.
func (question Request) read(stream io.Reader, asked *RequestRecord) error {
	lines := bufio.NewScanner(stream)
	lines.Buffer(nil, maxLineBytes)
	var text strings.Builder
	parts := 0
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var line answerLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return fmt.Errorf("line of the answer: %w", err)
		}
		if line.Outcome != "" {
			asked.Outcome, asked.Code, asked.Version = line.Outcome, line.Code, line.Version
			if line.Outcome == OutcomeAnswered {
				asked.Mismatch = question.compare(line, text.String(), parts, asked.RequestID)
			}
			return nil
		}
		if asked.FirstPart.IsZero() {
			asked.FirstPart = time.Now()
		}
		parts++
		if line.Part != parts {
			return fmt.Errorf("part %d came where part %d was due", line.Part, parts)
		}
		text.WriteString(line.Text)
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errNoOutcome
}

// compare returns how the answer differs from the one of the question.
func (question Request) compare(end answerLine, text string, parts int, requestID string) string {
	if question.Service {
		arguments, _ := json.Marshal(question.Prompt) // A string always encodes.
		if want := tokens.Result(requestID, callName, arguments); end.Body.Result != want {
			return fmt.Sprintf("result %q instead of %q", end.Body.Result, want)
		}
		return ""
	}
	if end.Parts != parts {
		return fmt.Sprintf("%d of %d parts", parts, end.Parts)
	}
	if want := tokens.New(requestID, question.Prompt, end.Version).Text(1, question.MaxTokens); text != want {
		return fmt.Sprintf("text %.40q instead of %.40q for version %s", text, want, end.Version)
	}
	return ""
}

package requests

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"firford/lib/configurations"
)

const (
	defaultBudget   = time.Minute
	maxBudget       = 10 * time.Minute
	defaultPriority = 5
	maxPriority     = 9
	maxTokensAsked  = 1 << 20
)

// keyPattern keeps keys short and free of the separator of the table's rows.
var keyPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

type (
	// asked is a request that has passed every check.
	asked struct {
		organisation configurations.Organisation
		call         Call
		lookup       bool
	}

	// problem is a refusal by a check.
	problem struct {
		status  int
		refusal NotRun
	}

	requestBody struct {
		Prompt    *string         `json:"prompt"`
		MaxTokens int             `json:"max_tokens"`
		Stream    bool            `json:"stream"`
		Call      string          `json:"call"`
		Arguments json.RawMessage `json:"arguments"`
	}

	// callerIndex finds an organisation by its token's hash. It is built once for
	// each revision.
	callerIndex struct {
		current atomic.Pointer[indexedCallers]
	}

	indexedCallers struct {
		revision int64
		byHash   map[string]configurations.Organisation
	}
)

func newProblem(status int, code, message string) *problem {
	return &problem{status: status, refusal: NotRun{Code: code, Message: message}}
}

func tooLarge() *problem {
	return newProblem(fasthttp.StatusRequestEntityTooLarge, CodeTooLarge,
		fmt.Sprintf("the body is larger than %d bytes", MaxBodyBytes))
}

// check reads the request and refuses what can't be run.
func (front *APIServer) check(ctx *fasthttp.RequestCtx, now time.Time) (asked, *problem) {
	path := string(ctx.Path())
	snapshot := front.dependencies.Source.Current()
	organisation, refused := front.callers.authenticate(ctx, snapshot)
	if refused != nil {
		return asked{}, refused
	}
	if key, isLookup := strings.CutPrefix(path, pathRequests); isLookup && ctx.IsGet() {
		if !keyPattern.MatchString(key) {
			return asked{}, newProblem(fasthttp.StatusBadRequest, CodeMalformed, "the key is malformed")
		}
		return asked{organisation: organisation, call: Call{Key: key}, lookup: true}, nil
	}
	name, isRequest := strings.CutPrefix(path, pathDeployments)
	name, complete := strings.CutSuffix(name, suffixRequests)
	if !isRequest || !complete || strings.Contains(name, "/") || !ctx.IsPost() {
		return asked{}, newProblem(fasthttp.StatusNotFound, CodeUnknownPath, "there is no such path")
	}
	deployment, _, known := configurations.Lookup[configurations.Deployment](snapshot, name)
	if !known {
		return asked{}, newProblem(fasthttp.StatusNotFound, CodeUnknownDeployment, "there is no such deployment")
	}
	call, refused := readCall(ctx, deployment, now)
	if refused != nil {
		return asked{}, refused
	}
	call.Request.Organisation = organisation.Name
	if !call.Request.Idempotent {
		call.Request.RequestID = keyedRequestID(organisation.Name, call.Key)
	}
	return asked{organisation: organisation, call: call}, nil
}

// authenticate finds the organisation whose token the caller holds.
func (callers *callerIndex) authenticate(ctx *fasthttp.RequestCtx, snapshot configurations.Snapshot) (configurations.Organisation, *problem) {
	token, bearer := bytes.CutPrefix(ctx.Request.Header.Peek("Authorization"), []byte("Bearer "))
	if !bearer || len(token) == 0 {
		return configurations.Organisation{}, newProblem(fasthttp.StatusUnauthorized, CodeUnauthenticated, "a bearer token is required")
	}
	hash := sha256.Sum256(token)
	organisation, known := callers.at(snapshot).byHash[hex.EncodeToString(hash[:])]
	if !known {
		return organisation, newProblem(fasthttp.StatusForbidden, CodeUnknownOrganisation, "the token belongs to no organisation")
	}
	return organisation, nil
}

func (callers *callerIndex) at(snapshot configurations.Snapshot) *indexedCallers {
	if current := callers.current.Load(); current != nil && current.revision == snapshot.Revision {
		return current
	}
	built := &indexedCallers{revision: snapshot.Revision, byHash: map[string]configurations.Organisation{}}
	for _, organisation := range configurations.All[configurations.Organisation](snapshot) {
		built.byHash[strings.ToLower(organisation.TokenHash)] = organisation
	}
	callers.current.Store(built)
	return built
}

func readCall(ctx *fasthttp.RequestCtx, deployment configurations.Deployment, now time.Time) (Call, *problem) {
	request, refused := readHeaders(ctx, now)
	if refused != nil {
		return Call{}, refused
	}
	request.Deployment = deployment.Name
	body := ctx.PostBody()
	if len(body) > MaxBodyBytes {
		return Call{}, tooLarge()
	}
	var read requestBody
	if err := json.Unmarshal(body, &read); err != nil {
		return Call{}, newProblem(fasthttp.StatusBadRequest, CodeMalformed, "the body is not valid: "+err.Error())
	}
	if err := read.check(deployment.Type); err != nil {
		return Call{}, newProblem(fasthttp.StatusBadRequest, CodeMalformed, err.Error())
	}
	// The server uses the body's memory again after the handler has returned.
	request.Body, request.Stream = bytes.Clone(body), read.Stream
	key := string(ctx.Request.Header.Peek("Request-Key"))
	if !request.Idempotent && !keyPattern.MatchString(key) {
		return Call{}, newProblem(fasthttp.StatusBadRequest, CodeMalformed,
			"a request that is not idempotent needs a Request-Key of 1 to 128 letters, digits and . _ : -")
	}
	return Call{Request: request, Key: key}, nil
}

// keyedRequestID is the same for every repeat of a key, so that each of them
// names the request that the backend server has seen.
func keyedRequestID(organisation, key string) string {
	return BodyDigest([]byte(claimKey(organisation, key)))[:2*idBytes]
}

func (read requestBody) check(deploymentType string) error {
	if deploymentType == configurations.DeploymentService {
		if read.Call == "" {
			return fmt.Errorf("a service needs a call")
		}
		if read.Stream {
			return fmt.Errorf("a service does not stream")
		}
		return nil
	}
	if read.Prompt == nil {
		return fmt.Errorf("an engine needs a prompt")
	}
	if read.MaxTokens < 0 || read.MaxTokens > maxTokensAsked {
		return fmt.Errorf("max_tokens is %d, allowed are 0 to %d", read.MaxTokens, maxTokensAsked)
	}
	return nil
}

func readHeaders(ctx *fasthttp.RequestCtx, now time.Time) (Request, *problem) {
	request := Request{RequestID: NewID(), Idempotent: true, Priority: defaultPriority, Deadline: now.Add(defaultBudget)}
	header := &ctx.Request.Header
	switch value := string(header.Peek("Idempotent")); value {
	case "", "true":
	case "false":
		request.Idempotent = false
	default:
		return request, newProblem(fasthttp.StatusBadRequest, CodeMalformed, "Idempotent is neither true nor false")
	}
	if value := string(header.Peek("Priority")); value != "" {
		priority, err := strconv.Atoi(value)
		if err != nil || priority < 0 || priority > maxPriority {
			return request, newProblem(fasthttp.StatusBadRequest, CodeMalformed, "Priority is not a number from 0 to 9")
		}
		request.Priority = priority
	}
	if value := string(header.Peek("Budget-Ms")); value != "" {
		budget, err := strconv.ParseInt(value, 10, 64)
		switch {
		case err != nil || budget > maxBudget.Milliseconds():
			return request, newProblem(fasthttp.StatusBadRequest, CodeMalformed,
				fmt.Sprintf("Budget-Ms is not a number up to %d", maxBudget.Milliseconds()))
		case budget <= 0:
			return request, newProblem(fasthttp.StatusRequestTimeout, CodeDeadlineExpired, "the deadline has passed")
		}
		request.Deadline = now.Add(time.Duration(budget) * time.Millisecond)
	}
	return request, nil
}

package requests

// A request is authenticated, parsed and checked before anything of it leaves
// the entry. Each check that fails gives a rejection with the HTTP status of
// the caller API.

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
	maxTokensLimit  = 1 << 20
)

// keyPattern bounds the length of request keys and excludes the separator of
// the table's row keys.
var keyPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

type (
	// validatedRequest is a request that has passed every check. For a lookup,
	// only the key is set.
	validatedRequest struct {
		organisation configurations.Organisation
		incoming     IncomingRequest
		isLookup     bool
	}

	// rejection is the refusal of a request that failed a check, and its HTTP
	// status.
	rejection struct {
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

	// organisationIndex finds an organisation by the hash of its token. It is
	// rebuilt once for each revision of the configuration.
	organisationIndex struct {
		current atomic.Pointer[indexedOrganisations]
	}

	indexedOrganisations struct {
		revision    int64
		byTokenHash map[string]configurations.Organisation
	}
)

func newRejection(status int, code, message string) *rejection {
	return &rejection{status: status, refusal: NotRun{Code: code, Message: message}}
}

func bodyTooLarge() *rejection {
	return newRejection(fasthttp.StatusRequestEntityTooLarge, CodeTooLarge,
		fmt.Sprintf("the body is larger than %d bytes", MaxBodyBytes))
}

// validate authenticates and parses the request, and rejects one that can't be
// run.
func (server *APIServer) validate(ctx *fasthttp.RequestCtx, now time.Time) (validatedRequest, *rejection) {
	path := string(ctx.Path())
	snapshot := server.dependencies.Source.Current()
	organisation, rejected := server.organisations.authenticate(ctx, snapshot)
	if rejected != nil {
		return validatedRequest{}, rejected
	}
	if key, isLookup := strings.CutPrefix(path, pathRequests); isLookup && ctx.IsGet() {
		if !keyPattern.MatchString(key) {
			return validatedRequest{}, newRejection(fasthttp.StatusBadRequest, CodeMalformed, "the key is malformed")
		}
		return validatedRequest{organisation: organisation, incoming: IncomingRequest{Key: key}, isLookup: true}, nil
	}
	name, isRequest := strings.CutPrefix(path, pathDeployments)
	name, complete := strings.CutSuffix(name, suffixRequests)
	if !isRequest || !complete || strings.Contains(name, "/") || !ctx.IsPost() {
		return validatedRequest{}, newRejection(fasthttp.StatusNotFound, CodeUnknownPath, "there is no such path")
	}
	deployment, _, known := configurations.Lookup[configurations.Deployment](snapshot, name)
	if !known {
		return validatedRequest{}, newRejection(fasthttp.StatusNotFound, CodeUnknownDeployment, "there is no such deployment")
	}
	incoming, rejected := parseRequest(ctx, deployment, now)
	if rejected != nil {
		return validatedRequest{}, rejected
	}
	incoming.Request.Organisation = organisation.Name
	if !incoming.Request.Idempotent {
		incoming.Request.RequestID = keyedRequestID(organisation.Name, incoming.Key)
	}
	return validatedRequest{organisation: organisation, incoming: incoming}, nil
}

// authenticate returns the organisation that the caller's bearer token belongs
// to.
func (index *organisationIndex) authenticate(ctx *fasthttp.RequestCtx, snapshot configurations.Snapshot) (configurations.Organisation, *rejection) {
	token, bearer := bytes.CutPrefix(ctx.Request.Header.Peek("Authorization"), []byte("Bearer "))
	if !bearer || len(token) == 0 {
		return configurations.Organisation{}, newRejection(fasthttp.StatusUnauthorized, CodeUnauthenticated, "a bearer token is required")
	}
	hash := sha256.Sum256(token)
	organisation, known := index.forSnapshot(snapshot).byTokenHash[hex.EncodeToString(hash[:])]
	if !known {
		return organisation, newRejection(fasthttp.StatusForbidden, CodeUnknownOrganisation, "the token belongs to no organisation")
	}
	return organisation, nil
}

func (index *organisationIndex) forSnapshot(snapshot configurations.Snapshot) *indexedOrganisations {
	if current := index.current.Load(); current != nil && current.revision == snapshot.Revision {
		return current
	}
	built := &indexedOrganisations{revision: snapshot.Revision, byTokenHash: map[string]configurations.Organisation{}}
	for _, organisation := range configurations.All[configurations.Organisation](snapshot) {
		built.byTokenHash[strings.ToLower(organisation.TokenHash)] = organisation
	}
	index.current.Store(built)
	return built
}

func parseRequest(ctx *fasthttp.RequestCtx, deployment configurations.Deployment, now time.Time) (IncomingRequest, *rejection) {
	request, rejected := parseHeaders(ctx, now)
	if rejected != nil {
		return IncomingRequest{}, rejected
	}
	request.Deployment = deployment.Name
	body, rejected := readBody(ctx)
	if rejected != nil {
		return IncomingRequest{}, rejected
	}
	var decoded requestBody
	if err := json.Unmarshal(body, &decoded); err != nil {
		return IncomingRequest{}, newRejection(fasthttp.StatusBadRequest, CodeMalformed, "the body is not valid: "+err.Error())
	}
	if err := decoded.validate(deployment.Type); err != nil {
		return IncomingRequest{}, newRejection(fasthttp.StatusBadRequest, CodeMalformed, err.Error())
	}
	request.Body, request.Stream = body, decoded.Stream
	key := string(ctx.Request.Header.Peek("Request-Key"))
	if !request.Idempotent && !keyPattern.MatchString(key) {
		return IncomingRequest{}, newRejection(fasthttp.StatusBadRequest, CodeMalformed,
			"a request that is not idempotent needs a Request-Key of 1 to 128 letters, digits and . _ : -")
	}
	return IncomingRequest{Request: request, Key: key}, nil
}

// keyedRequestID returns the same id for every repeat of a key, so that each
// repeat reports the id that the backend server received.
func keyedRequestID(organisation, key string) string {
	return BodyDigest([]byte(claimKey(organisation, key)))[:2*idBytes]
}

func (decoded requestBody) validate(deploymentType string) error {
	if deploymentType == configurations.DeploymentService {
		if decoded.Call == "" {
			return fmt.Errorf("a service needs a call")
		}
		if decoded.Stream {
			return fmt.Errorf("a service does not stream")
		}
		return nil
	}
	if decoded.Prompt == nil {
		return fmt.Errorf("an engine needs a prompt")
	}
	if decoded.MaxTokens < 0 || decoded.MaxTokens > maxTokensLimit {
		return fmt.Errorf("max_tokens is %d, allowed are 0 to %d", decoded.MaxTokens, maxTokensLimit)
	}
	return nil
}

func parseHeaders(ctx *fasthttp.RequestCtx, now time.Time) (Request, *rejection) {
	request := Request{RequestID: NewID(), Idempotent: true, Priority: defaultPriority, Deadline: now.Add(defaultBudget)}
	header := &ctx.Request.Header
	switch value := string(header.Peek("Idempotent")); value {
	case "", "true":
	case "false":
		request.Idempotent = false
	default:
		return request, newRejection(fasthttp.StatusBadRequest, CodeMalformed, "Idempotent is neither true nor false")
	}
	if value := string(header.Peek("Priority")); value != "" {
		priority, err := strconv.Atoi(value)
		if err != nil || priority < 0 || priority > maxPriority {
			return request, newRejection(fasthttp.StatusBadRequest, CodeMalformed, "Priority is not a number from 0 to 9")
		}
		request.Priority = priority
	}
	if value := string(header.Peek("Budget-Ms")); value != "" {
		budget, err := strconv.ParseInt(value, 10, 64)
		switch {
		case err != nil || budget > maxBudget.Milliseconds():
			return request, newRejection(fasthttp.StatusBadRequest, CodeMalformed,
				fmt.Sprintf("Budget-Ms is not a number up to %d", maxBudget.Milliseconds()))
		case budget <= 0:
			return request, newRejection(fasthttp.StatusRequestTimeout, CodeDeadlineExpired, "the deadline has passed")
		}
		request.Deadline = now.Add(time.Duration(budget) * time.Millisecond)
	}
	return request, nil
}

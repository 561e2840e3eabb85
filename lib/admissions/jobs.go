package admissions

import (
	"encoding/json"
	"fmt"

	"firford/lib/configurations"
	"firford/lib/requests"
)

const (
	defaultMaxTokens = 256
	maxTokensLimit   = 1 << 20
	maxBodyBytes     = 1 << 20
	maxPriority      = 9
)

type (
	// job is the decoded body of a request: a generation or a call.
	job interface {
		job()
	}

	generation struct {
		prompt      string
		maxTokens   int
		resumeAfter int
	}

	call struct {
		name      string
		arguments json.RawMessage
	}

	generationBody struct {
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
	}

	callBody struct {
		Call      string          `json:"call"`
		Arguments json.RawMessage `json:"arguments"`
	}

	// textBody is the body of an answer that isn't streamed.
	textBody struct {
		Text string `json:"text"`
	}
)

func (generation) job() {}
func (call) job()       {}

// decodeJob decodes a request's body as the type of the deployment requires.
func decodeJob(deploymentType string, request requests.Request) (job, error) {
	switch deploymentType {
	case configurations.DeploymentEngine:
		return decodeGeneration(request)
	case configurations.DeploymentService:
		return decodeCall(request)
	default:
		return nil, fmt.Errorf("unknown type of deployment %q", deploymentType)
	}
}

func decodeGeneration(request requests.Request) (job, error) {
	var body generationBody
	if err := json.Unmarshal(request.Body, &body); err != nil {
		return nil, fmt.Errorf("decode body: %w", err)
	}
	maxTokens := defaultMaxTokens
	if body.MaxTokens != 0 {
		maxTokens = body.MaxTokens
	}
	if maxTokens < 0 || maxTokens > maxTokensLimit {
		return nil, fmt.Errorf("max_tokens is %d, allowed are 0 to %d", maxTokens, maxTokensLimit)
	}
	return generation{prompt: body.Prompt, maxTokens: maxTokens, resumeAfter: request.AfterPart}, nil
}

func decodeCall(request requests.Request) (job, error) {
	var body callBody
	if err := json.Unmarshal(request.Body, &body); err != nil {
		return nil, fmt.Errorf("decode body: %w", err)
	}
	if body.Call == "" {
		return nil, fmt.Errorf("a service needs a call")
	}
	return call{name: body.Call, arguments: body.Arguments}, nil
}

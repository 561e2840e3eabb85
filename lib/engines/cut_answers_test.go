package engines

import (
	"context"
	"net/http"
	"testing"

	"firford/lib/cuts"
)

// bodyCall is a kind of call, with the body of a sound answer to it.
type bodyCall struct {
	body string
	call func(client *Client) error
}

func bodyCalls() map[string]bodyCall {
	return map[string]bodyCall{
		"status":  {`{"slots":1}`, func(client *Client) error { _, err := client.status(context.Background(), false); return err }},
		"command": {"{}", func(client *Client) error { return client.Cancel(context.Background(), "r") }},
		"call": {`{"request_id":"r"}`, func(client *Client) error {
			_, err := client.Call(context.Background(), Call{RequestID: "r", Call: "lot"})
			return err
		}},
	}
}

// newCall returns the call by a new client to the address. It fails the test if the call
// fails with an error by which nothing has run.
func (each bodyCall) newCall(t *testing.T) func(address string) func() error {
	return func(address string) func() error {
		client := New(Options{Address: address})
		t.Cleanup(client.Close)
		return func() error {
			err := each.call(client)
			if err != nil && !MayHaveRun(err) {
				t.Errorf("not run, says %v", err)
			}
			return err
		}
	}
}

// Guards against a backend server that stops within its answer, also within the head, and
// whose answer counts as complete or as one that proves that nothing has run.
func TestCutAnswersAreErrors(t *testing.T) {
	for name, each := range bodyCalls() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cuts.CheckClient(t, http.StatusOK, each.body, each.newCall(t))
		})
	}
}

// Guards against a backend server in trouble whose answer has no valid status, such as 000,
// and counts as a success or as one that proves that nothing has run.
func TestAnswersWithOddStatusesAreErrors(t *testing.T) {
	calls := bodyCalls()
	calls["generation"] = generationCall()
	for name, each := range calls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cuts.CheckOddStatuses(t, each.body, each.newCall(t))
		})
	}
}

// generationCall returns a request for a token, whose answer is a stream.
func generationCall() bodyCall {
	const tokens = "{\"seq\":1,\"token\":\"a\"}\n{\"done\":true,\"tokens\":1}\n"
	return bodyCall{tokens, func(client *Client) error {
		_, err := client.Generate(context.Background(), Generation{RequestID: "r", MaxTokens: 1}, func(Token) {})
		return err
	}}
}

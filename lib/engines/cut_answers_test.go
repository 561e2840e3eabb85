package engines

import (
	"context"
	"net/http"
	"testing"

	"firford/lib/cuts"
)

// Guards against a backend server that stops within its answer, also within the head, and
// whose answer counts as complete or as one that proves that nothing has run.
func TestCutAnswersAreErrors(t *testing.T) {
	for name, each := range map[string]struct {
		body string
		call func(client *Client) error
	}{
		"status":  {`{"slots":1}`, func(client *Client) error { _, err := client.status(context.Background(), false); return err }},
		"command": {"{}", func(client *Client) error { return client.Cancel(context.Background(), "r") }},
		"call": {`{"request_id":"r"}`, func(client *Client) error {
			_, err := client.Call(context.Background(), Call{RequestID: "r", Call: "lot"})
			return err
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cuts.CheckClient(t, http.StatusOK, each.body, func(address string) func() error {
				client := New(Options{Address: address})
				t.Cleanup(client.Close)
				return func() error {
					err := each.call(client)
					if err != nil && !MayHaveRun(err) {
						t.Errorf("not run, says %v", err)
					}
					return err
				}
			})
		})
	}
}

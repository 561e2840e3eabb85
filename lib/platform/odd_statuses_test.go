package platform

import (
	"errors"
	"testing"

	"firford/lib/cuts"
)

// Guards against a store or an origin in trouble whose answer has no valid status, such as
// 000, and counts as a read, as a write that has taken effect, or as one that has not.
func TestAnswersWithOddStatusesAreErrors(t *testing.T) {
	for name, each := range map[string]struct {
		body string
		call func(client *Client) error
	}{
		"read":        {`{"revision":1}`, func(client *Client) error { _, err := client.Read(t.Context(), "a"); return err }},
		"scan":        {`{"rows":[]}`, func(client *Client) error { _, err := client.Scan(t.Context(), "a", 0); return err }},
		"list":        {`{"hosts":[]}`, func(client *Client) error { _, err := client.List(t.Context()); return err }},
		"object":      {"object", func(client *Client) error { _, err := client.Get(t.Context(), "a"); return err }},
		"save object": {"{}", func(client *Client) error { return unknownOutcome(t, client.Put(t.Context(), "a", []byte("b"))) }},
		"transaction": {`{"revision":1}`, func(client *Client) error {
			_, err := client.Transact(t.Context(), nil, []Write{{Key: "a"}})
			return unknownOutcome(t, err)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cuts.CheckOddStatuses(t, each.body, func(address string) func() error {
				client := New(address, "token")
				return func() error { return each.call(client) }
			})
		})
	}
}

// unknownOutcome returns the error of a write, and fails the test if that says that the
// write has had no effect.
func unknownOutcome(t *testing.T, err error) error {
	if err != nil && !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("not written, says %v", err)
	}
	return err
}

// Package operations changes the configuration of a running fleet as operators
// do. It calls any of the entries over gRPC, and retries a call with the same
// request id until its outcome is known.
package operations

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"firford/lib/operators/wire"
)

const (
	callTimeout  = 5 * time.Second
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// Client calls the entries in turn. It is not safe for concurrent use.
type Client struct {
	token   string
	entries []wire.OperatorsClient
	closers []func() error
	next    int
}

// NewClient returns a client for the operator addresses of the entries. It reads
// the operator's token from a file.
func NewClient(addresses []string, tokenFile string) (*Client, error) {
	token, err := os.ReadFile(tokenFile)
	if err != nil {
		return nil, fmt.Errorf("read operator token: %w", err)
	}
	client := &Client{token: strings.TrimSpace(string(token))}
	for _, address := range addresses {
		connection, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return nil, fmt.Errorf("create client for operator address %s: %w", address, err)
		}
		client.entries = append(client.entries, wire.NewOperatorsClient(connection))
		client.closers = append(client.closers, connection.Close)
	}
	if len(client.entries) == 0 {
		return nil, errors.New("no operator address was given")
	}
	return client, nil
}

// Close closes all connections.
func (client *Client) Close() {
	for _, closeConnection := range client.closers {
		_ = closeConnection()
	}
}

// Entries returns the stub of each entry, and a context that carries the token
// for calls to them.
func (client *Client) Entries(ctx context.Context) (context.Context, []wire.OperatorsClient) {
	return metadata.AppendToOutgoingContext(ctx, "authorization", "Bearer "+client.token), client.entries
}

// NewRequestID returns a random id for one change.
func NewRequestID(random *rand.Rand) string {
	return fmt.Sprintf("bench-%016x%016x", random.Uint64(), random.Uint64())
}

// Retry makes the call at one entry after the other until it succeeds, fails
// permanently or the context ends. The call must carry the same request id each
// time, so that a change whose answer was lost is not made twice.
func (client *Client) Retry(ctx context.Context, call func(context.Context, wire.OperatorsClient) error) error {
	backoff := firstBackoff
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		authorisedCtx, entries := client.Entries(callCtx)
		err := call(authorisedCtx, entries[client.next%len(entries)])
		cancel()
		client.next++
		if !isRetryable(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w, last error: %w", ctx.Err(), err)
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// isRetryable reports whether the same call may succeed when it is retried.
func isRetryable(err error) bool {
	if err == nil {
		return false
	}
	switch status.Code(err) {
	case codes.Unavailable, codes.DeadlineExceeded, codes.Unknown, codes.Internal, codes.Canceled, codes.ResourceExhausted:
		return true
	default:
		return false
	}
}

// Package operations acts as operators do: it calls any of the entries over
// gRPC and repeats a call under the same request id until its outcome is known.
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
	callTimeout = 5 * time.Second
	firstPause  = 100 * time.Millisecond
	longestWait = 2 * time.Second
)

// Client calls the entries in turn. It is not safe for concurrent use.
type Client struct {
	token   string
	entries []wire.OperatorsClient
	close   []func() error
	next    int
}

// NewClient returns a client of the entries' operator addresses. The token is
// read from a file.
func NewClient(addresses []string, tokenFile string) (*Client, error) {
	token, err := os.ReadFile(tokenFile)
	if err != nil {
		return nil, fmt.Errorf("read operator token: %w", err)
	}
	client := &Client{token: strings.TrimSpace(string(token))}
	for _, address := range addresses {
		connection, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return nil, fmt.Errorf("operator address %s: %w", address, err)
		}
		client.entries = append(client.entries, wire.NewOperatorsClient(connection))
		client.close = append(client.close, connection.Close)
	}
	if len(client.entries) == 0 {
		return nil, errors.New("no operator address")
	}
	return client, nil
}

// Close closes all connections.
func (client *Client) Close() {
	for _, closeConnection := range client.close {
		_ = closeConnection()
	}
}

// Entries returns the stub of each entry, and a context for calls to them.
func (client *Client) Entries(ctx context.Context) (context.Context, []wire.OperatorsClient) {
	return metadata.AppendToOutgoingContext(ctx, "authorization", "Bearer "+client.token), client.entries
}

// NewRequestID returns an id for one change.
func NewRequestID(random *rand.Rand) string {
	return fmt.Sprintf("bench-%016x%016x", random.Uint64(), random.Uint64())
}

// Retry makes the call at one entry after the other until it succeeds, fails
// for good or the context ends. The call has to carry the same request id each
// time, so that a change whose answer was lost is not made twice.
func (client *Client) Retry(ctx context.Context, call func(context.Context, wire.OperatorsClient) error) error {
	pause := firstPause
	for {
		bounded, cancel := context.WithTimeout(ctx, callTimeout)
		calling, entries := client.Entries(bounded)
		err := call(calling, entries[client.next%len(entries)])
		cancel()
		client.next++
		if !mayRepeat(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w, last answer: %w", ctx.Err(), err)
		case <-time.After(pause):
		}
		pause = min(2*pause, longestWait)
	}
}

// mayRepeat reports whether the same call can still succeed.
func mayRepeat(err error) bool {
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

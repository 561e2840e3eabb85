package commands

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"

	"firford/lib/operators/wire"
)

const (
	maxMessageBytes = 8 << 20
	requestIDBytes  = 16
)

// client returns a client of the entry and a context with the operator's token.
func (session *session) client(ctx context.Context) (context.Context, wire.OperatorsClient, func(), error) {
	token, err := os.ReadFile(session.arguments.TokenFile)
	if err != nil {
		return ctx, nil, nil, &codedError{ExitInvalid, fmt.Sprintf("read the token: %v; name its file with --token-file", err)}
	}
	transport, err := session.transport()
	if err != nil {
		return ctx, nil, nil, err
	}
	connection, err := grpc.NewClient("passthrough:///"+session.arguments.Entry,
		grpc.WithTransportCredentials(transport),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
	if err != nil {
		return ctx, nil, nil, fmt.Errorf("connect to entry %s: %w", session.arguments.Entry, err)
	}
	ctx = metadata.AppendToOutgoingContext(ctx, "authorization", "Bearer "+strings.TrimSpace(string(token)))
	return ctx, wire.NewOperatorsClient(connection), func() { _ = connection.Close() }, nil
}

func (session *session) transport() (credentials.TransportCredentials, error) {
	if session.arguments.AuthorityFile == "" {
		return insecure.NewCredentials(), nil
	}
	encoded, err := os.ReadFile(session.arguments.AuthorityFile)
	if err != nil {
		return nil, &codedError{ExitInvalid, fmt.Sprintf("read the authority: %v", err)}
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(encoded) {
		return nil, &codedError{ExitInvalid, session.arguments.AuthorityFile + " holds no certificate"}
	}
	return credentials.NewTLS(&tls.Config{RootCAs: authority, MinVersion: tls.VersionTLS12}), nil
}

// call runs one call that ends after the time limit.
func (session *session) call(ctx context.Context, run func(ctx context.Context, client wire.OperatorsClient) error) error {
	ctx, client, done, err := session.client(ctx)
	if err != nil {
		return err
	}
	defer done()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(session.arguments.TimeoutS)*time.Second)
	defer cancel()
	return run(ctx, client)
}

// change runs one change and prints the revision. An empty request id is
// replaced by a random one, which an error shows.
func (session *session) change(ctx context.Context, requestID string, run func(ctx context.Context, client wire.OperatorsClient, id string) (*wire.Accepted, error)) error {
	if requestID == "" {
		raw := make([]byte, requestIDBytes)
		_, _ = rand.Read(raw) // crypto/rand never fails on supported systems.
		requestID = hex.EncodeToString(raw)
	}
	return session.call(ctx, func(ctx context.Context, client wire.OperatorsClient) error {
		accepted, err := run(ctx, client, requestID)
		if err != nil {
			return &changeError{requestID: requestID, err: err}
		}
		return session.show(acceptedView{Revision: accepted.GetRevision(), RequestID: requestID},
			fmt.Sprintf("accepted as revision %d; `firford status --revision %d` shows where it is in force\n",
				accepted.GetRevision(), accepted.GetRevision()))
	})
}

type acceptedView struct {
	Revision  int64  `json:"revision"`
	RequestID string `json:"request_id"`
}

// show prints the value as one line of JSON, or the text.
func (session *session) show(value any, text string) error {
	if session.arguments.JSON {
		encoded, err := json.Marshal(value)
		if err != nil {
			return fmt.Errorf("encode the answer: %w", err)
		}
		text = string(encoded) + "\n"
	}
	_, err := fmt.Fprint(session.out, text)
	return err
}

// table returns rows aligned below their header.
func table(header string, rows []string) string {
	var text strings.Builder
	writer := tabwriter.NewWriter(&text, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, header)
	for _, row := range rows {
		_, _ = fmt.Fprintln(writer, row)
	}
	_ = writer.Flush() // A strings.Builder takes every write.
	return text.String()
}

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

// connect returns a context that carries the operator's token, a client of the
// entry, and a function that closes the client's connection.
func (session *session) connect(ctx context.Context) (context.Context, wire.OperatorsClient, func(), error) {
	token, err := os.ReadFile(session.arguments.TokenFile)
	if err != nil {
		return ctx, nil, nil, &exitError{ExitInvalid, fmt.Sprintf("read the token: %v; name its file with --token-file", err)}
	}
	transport, err := session.transportCredentials()
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

// transportCredentials returns the credentials for TLS, or insecure ones if no
// authority file is given.
func (session *session) transportCredentials() (credentials.TransportCredentials, error) {
	if session.arguments.AuthorityFile == "" {
		return insecure.NewCredentials(), nil
	}
	encoded, err := os.ReadFile(session.arguments.AuthorityFile)
	if err != nil {
		return nil, &exitError{ExitInvalid, fmt.Sprintf("read the authority: %v", err)}
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(encoded) {
		return nil, &exitError{ExitInvalid, session.arguments.AuthorityFile + " holds no certificate"}
	}
	return credentials.NewTLS(&tls.Config{RootCAs: authorities, MinVersion: tls.VersionTLS12}), nil
}

// callEntry connects to the entry and makes a call, limited to --timeout-s
// seconds.
func (session *session) callEntry(ctx context.Context, run func(ctx context.Context, client wire.OperatorsClient) error) error {
	ctx, client, closeConnection, err := session.connect(ctx)
	if err != nil {
		return err
	}
	defer closeConnection()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(session.arguments.TimeoutS)*time.Second)
	defer cancel()
	return run(ctx, client)
}

// submitChange submits a change and prints the revision that it was accepted as.
// If the request id is empty, it uses a random one. An error shows the id, so
// that the change can be repeated under it.
func (session *session) submitChange(ctx context.Context, requestID string, run func(ctx context.Context, client wire.OperatorsClient, id string) (*wire.Accepted, error)) error {
	if requestID == "" {
		random := make([]byte, requestIDBytes)
		_, _ = rand.Read(random) // crypto/rand never fails on supported systems.
		requestID = hex.EncodeToString(random)
	}
	return session.callEntry(ctx, func(ctx context.Context, client wire.OperatorsClient) error {
		accepted, err := run(ctx, client, requestID)
		if err != nil {
			return &changeError{requestID: requestID, err: err}
		}
		return session.print(acceptedView{Revision: accepted.GetRevision(), RequestID: requestID},
			fmt.Sprintf("accepted as revision %d; `firford status --revision %d` shows where it is in force\n",
				accepted.GetRevision(), accepted.GetRevision()))
	})
}

type acceptedView struct {
	Revision  int64  `json:"revision"`
	RequestID string `json:"request_id"`
}

// print prints the value as one line of JSON if --json is given, otherwise the
// text.
func (session *session) print(value any, text string) error {
	if session.arguments.JSON {
		encoded, err := json.Marshal(value)
		if err != nil {
			return fmt.Errorf("encode the output: %w", err)
		}
		text = string(encoded) + "\n"
	}
	_, err := fmt.Fprint(session.out, text)
	return err
}

// formatTable aligns the columns of the header and the rows, whose cells are
// separated by tabs.
func formatTable(header string, rows []string) string {
	var text strings.Builder
	writer := tabwriter.NewWriter(&text, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, header)
	for _, row := range rows {
		_, _ = fmt.Fprintln(writer, row)
	}
	_ = writer.Flush() // Writes to a strings.Builder do not fail.
	return text.String()
}

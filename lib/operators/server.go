// Package operators implements the gRPC service through which operators read and
// change the configuration.
//
// The service uses gRPC because operators call it from their own programs as well
// as from the command line and need a typed interface. Every entry accepts every
// call: a change is committed to the platform's table, which orders the changes
// of all entries. A design with a leader entry was rejected, because leader
// election needs a coordination service.
package operators

import (
	"context"
	"crypto/tls"
	"net"
	"strings"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"

	"firford/lib/configurations"
	"firford/lib/logs"
	"firford/lib/operators/wire"
)

const (
	maxMessageBytes = 1 << 20
	maxStreams      = 64
	// callTimeout limits a call whose caller set no earlier deadline. It leaves
	// time to retry commits to a slow store.
	callTimeout = 20 * time.Second
	// drainTimeout limits the wait for calls in progress on shutdown.
	drainTimeout = 5 * time.Second
	// idleTimeout closes connections without calls, and pingTimeout closes
	// connections whose client no longer answers pings.
	idleTimeout = 5 * time.Minute
	pingTimeout = 20 * time.Second
)

type (
	// Configuration reads and changes the configuration.
	Configuration interface {
		configurations.Source
		Change(ctx context.Context, request configurations.Request) (configurations.Change, error)
	}

	// Authenticator returns the name of the operator that a token belongs to.
	Authenticator interface {
		Operator(token string) (name string, found bool)
	}

	// Engine is the state of one backend server as an entry knows it. SeenAt is
	// when the entry last received it, or zero if it never did.
	Engine struct {
		Host       string
		DataCentre string
		Deployment string
		Version    string
		State      string
		Running    int
		Queued     int
		Slots      int
		SeenAt     time.Time
	}

	// EngineLister lists the backend servers of a deployment, or of all
	// deployments if the name is empty.
	EngineLister interface {
		Engines(ctx context.Context, deployment string) ([]Engine, error)
	}

	// StatusQuerier asks every process which configuration revision it applies.
	StatusQuerier interface {
		QueryStatuses(ctx context.Context) []configurations.HostStatus
	}

	// BurnReporter returns the burn report of a deployment as a JSON document, or
	// of all deployments if the name is empty.
	BurnReporter interface {
		BurnReport(ctx context.Context, deployment string) ([]byte, error)
	}

	// Dependencies holds what the server needs. EngineLister, StatusQuerier,
	// BurnReporter and TLS may be nil. Calls that need a missing one fail with
	// ReasonNotProvided; without TLS, connections are not encrypted.
	Dependencies struct {
		Configuration Configuration
		Authenticator Authenticator
		EngineLister  EngineLister
		StatusQuerier StatusQuerier
		BurnReporter  BurnReporter
		TLS           *tls.Config
		Logger        *zap.Logger
	}

	// Server implements the operators' gRPC service. It is safe for concurrent use.
	Server struct {
		wire.UnimplementedOperatorsServer
		dependencies Dependencies
	}

	operatorContextKey struct{}
)

// NewServer returns a server that is started by Serve.
func NewServer(dependencies Dependencies) *Server {
	return &Server{dependencies: dependencies}
}

// Serve accepts calls on the listener until the context is cancelled. It then
// waits for calls in progress, and cuts them off after drainTimeout.
func (server *Server) Serve(ctx context.Context, listener net.Listener) error {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.UnaryInterceptor(server.authenticateCall),
		grpc.StreamInterceptor(server.authenticateStream),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idleTimeout, Time: pingTimeout, Timeout: pingTimeout}),
	}
	if server.dependencies.TLS != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(server.dependencies.TLS)))
	}
	grpcServer := grpc.NewServer(options...)
	wire.RegisterOperatorsServer(grpcServer, server)
	cancelShutdown := context.AfterFunc(ctx, func() {
		forceStop := time.AfterFunc(drainTimeout, grpcServer.Stop)
		defer forceStop.Stop()
		grpcServer.GracefulStop()
	})
	defer cancelShutdown()
	return grpcServer.Serve(listener)
}

// authenticateCall is the interceptor of unary calls. It also sets the call's
// timeout and converts its error.
func (server *Server) authenticateCall(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	ctx, err := server.authenticate(ctx, info.FullMethod)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := handler(ctx, request)
	return answer, statusError(err)
}

// authenticatedStream is a server stream whose context holds the operator's name.
type authenticatedStream struct {
	grpc.ServerStream
	ctx context.Context
}

// Context returns the context with the operator's name.
func (stream authenticatedStream) Context() context.Context { return stream.ctx }

// authenticateStream is the interceptor of streaming calls, which have no timeout.
func (server *Server) authenticateStream(service any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	ctx, err := server.authenticate(stream.Context(), info.FullMethod)
	if err != nil {
		return err
	}
	return statusError(handler(service, authenticatedStream{ServerStream: stream, ctx: ctx}))
}

// authenticate checks the call's bearer token and returns a context with the
// operator's name.
func (server *Server) authenticate(ctx context.Context, method string) (context.Context, error) {
	incoming, _ := metadata.FromIncomingContext(ctx)
	for _, value := range incoming.Get("authorization") {
		token, isBearer := strings.CutPrefix(value, "Bearer ")
		if !isBearer {
			continue
		}
		if name, found := server.dependencies.Authenticator.Operator(token); found {
			server.dependencies.Logger.Debug("operator call", zap.String("operator", name), zap.String("method", method))
			return context.WithValue(ctx, operatorContextKey{}, name), nil
		}
	}
	return nil, failure{
		code: codes.Unauthenticated, reason: ReasonUnauthenticated, retry: RetryNever,
		message: "the call carries no bearer token of an operator",
	}.status()
}

func operatorFromContext(ctx context.Context) string {
	name, _ := ctx.Value(operatorContextKey{}).(string)
	return name
}

// commitChange commits a change on behalf of the operator named in the context.
func (server *Server) commitChange(ctx context.Context, request configurations.Request) (*wire.Accepted, error) {
	request.Operator = operatorFromContext(ctx)
	change, err := server.dependencies.Configuration.Change(ctx, request)
	if err != nil {
		server.dependencies.Logger.Info("change refused", zap.String("operator", request.Operator),
			zap.String("kind", request.Kind), zap.String("name", request.Name), zap.Error(err))
		return nil, err
	}
	server.dependencies.Logger.Info("change accepted", zap.String("operator", request.Operator),
		zap.String("kind", request.Kind), zap.String("name", request.Name), logs.Revision(change.Revision))
	return &wire.Accepted{Revision: change.Revision}, nil
}

// Create implements the Create call.
func (server *Server) Create(ctx context.Context, request *wire.CreateRequest) (*wire.Accepted, error) {
	return server.putObject(ctx, request.GetRequestId(), request.GetObject(), 0)
}

// Update implements the Update call.
func (server *Server) Update(ctx context.Context, request *wire.UpdateRequest) (*wire.Accepted, error) {
	if request.GetExpectedRevision() <= 0 {
		return nil, invalid("expected_revision: must be the revision of the object as last read")
	}
	return server.putObject(ctx, request.GetRequestId(), request.GetObject(), request.GetExpectedRevision())
}

// putObject creates the object, or updates it if the expected revision is not zero.
func (server *Server) putObject(ctx context.Context, id string, encoded *wire.Object, expected int64) (*wire.Accepted, error) {
	object, err := ObjectFromWire(encoded)
	if err != nil {
		return nil, invalid(err.Error())
	}
	if object.Kind() == configurations.KindRollout {
		return nil, invalid("a rollout can only be changed by the calls start, pause, resume and undo")
	}
	return server.commitChange(ctx, configurations.Request{
		ID: id, Kind: object.Kind(), Name: object.ObjectName(), Object: object, ExpectedRevision: expected,
	})
}

// Delete implements the Delete call.
func (server *Server) Delete(ctx context.Context, request *wire.DeleteRequest) (*wire.Accepted, error) {
	kind, known := kindNames[request.GetKind()]
	if !known {
		return nil, invalid("kind: must be a known kind of object")
	}
	if request.GetExpectedRevision() <= 0 {
		return nil, invalid("expected_revision: must be the revision of the object as last read")
	}
	return server.commitChange(ctx, configurations.Request{
		ID: request.GetRequestId(), Kind: kind, Name: request.GetName(), ExpectedRevision: request.GetExpectedRevision(),
	})
}

// currentSnapshot returns the configuration in force at this entry. It fails if
// there is none yet.
func (server *Server) currentSnapshot() (configurations.Snapshot, error) {
	snapshot := server.dependencies.Configuration.Current()
	if snapshot.Revision > 0 {
		return snapshot, nil
	}
	return snapshot, failure{
		code: codes.Unavailable, reason: ReasonNoConfiguration, retry: RetrySameRequestID,
		message: "this entry has no configuration yet: nothing was ever configured, or neither the store nor another process answers",
	}.status()
}

// Get implements the Get call.
func (server *Server) Get(_ context.Context, request *wire.GetRequest) (*wire.Entry, error) {
	snapshot, err := server.currentSnapshot()
	if err != nil {
		return nil, err
	}
	kind := kindNames[request.GetKind()]
	entry, found := snapshot.Find(kind, request.GetName())
	if !found {
		return nil, notFound(kind, request.GetName())
	}
	return &wire.Entry{Object: ObjectToWire(entry.Object), Revision: entry.Revision}, nil
}

// List implements the List call.
func (server *Server) List(_ context.Context, request *wire.ListRequest) (*wire.EntryList, error) {
	kind, known := kindNames[request.GetKind()]
	if !known {
		return nil, invalid("kind: must be a known kind of object")
	}
	snapshot := server.dependencies.Configuration.Current()
	list := &wire.EntryList{Revision: snapshot.Revision}
	for _, entry := range snapshot.Entries() {
		if entry.Object.Kind() == kind {
			list.Entries = append(list.Entries, &wire.Entry{Object: ObjectToWire(entry.Object), Revision: entry.Revision})
		}
	}
	return list, nil
}

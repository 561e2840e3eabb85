// Package operators answers the calls of operators on every entry.
//
// The calls arrive by gRPC, because operators use their own programs as well as
// the command line and need a typed interface. Any entry takes any call: the
// change is committed to the platform's table, which orders the changes of all
// entries. A leading entry was rejected, because electing one needs a
// coordination service.
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
	// callTimeout bounds a call whose caller set no earlier deadline. It leaves
	// room for repeated commits to a slow store.
	callTimeout = 20 * time.Second
	// drainTimeout bounds the wait for calls in progress when the entry stops.
	drainTimeout = 5 * time.Second
	// idleTimeout and pingTimeout close connections whose other end is gone.
	idleTimeout = 5 * time.Minute
	pingTimeout = 20 * time.Second
)

type (
	// Configuration is where the server reads and changes the configuration.
	Configuration interface {
		configurations.Source
		Change(ctx context.Context, request configurations.Request) (configurations.Change, error)
	}

	// Authenticator returns the operator who holds a token.
	Authenticator interface {
		Operator(token string) (name string, found bool)
	}

	// Engine is what an entry knows of one backend server. SeenAt is when the
	// entry last heard of it.
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

	// EngineLister lists backend servers. An empty deployment lists all.
	EngineLister interface {
		Engines(ctx context.Context, deployment string) ([]Engine, error)
	}

	// Surveyor asks every process for its revision.
	Surveyor interface {
		Survey(ctx context.Context) []configurations.HostStatus
	}

	// BurnReporter returns the burn report as a JSON document. An empty
	// deployment reports all.
	BurnReporter interface {
		BurnReport(ctx context.Context, deployment string) ([]byte, error)
	}

	// Dependencies are what the server works with. Engines, Surveyor, Burn and TLS
	// may be nil; calls that need an absent one are refused.
	Dependencies struct {
		Configuration Configuration
		Operators     Authenticator
		Engines       EngineLister
		Surveyor      Surveyor
		Burn          BurnReporter
		TLS           *tls.Config
		Logger        *zap.Logger
	}

	// Server answers operators' calls. It is safe for concurrent use.
	Server struct {
		wire.UnimplementedOperatorsServer
		dependencies Dependencies
	}

	operatorKey struct{}
)

// NewServer returns a server; call Serve.
func NewServer(dependencies Dependencies) *Server {
	return &Server{dependencies: dependencies}
}

// Serve answers on the listener until the context ends and calls in progress
// have finished.
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
	service := grpc.NewServer(options...)
	wire.RegisterOperatorsServer(service, server)
	stop := context.AfterFunc(ctx, func() {
		force := time.AfterFunc(drainTimeout, service.Stop)
		defer force.Stop()
		service.GracefulStop()
	})
	defer stop()
	return service.Serve(listener)
}

func (server *Server) authenticateCall(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	ctx, err := server.authenticate(ctx, info.FullMethod)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := handler(ctx, request)
	return answer, statusOf(err)
}

type authenticatedStream struct {
	grpc.ServerStream
	ctx context.Context
}

// Context returns the context that names the operator.
func (stream authenticatedStream) Context() context.Context { return stream.ctx }

func (server *Server) authenticateStream(service any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	ctx, err := server.authenticate(stream.Context(), info.FullMethod)
	if err != nil {
		return err
	}
	return statusOf(handler(service, authenticatedStream{ServerStream: stream, ctx: ctx}))
}

// authenticate returns a context that names the operator.
func (server *Server) authenticate(ctx context.Context, method string) (context.Context, error) {
	given, _ := metadata.FromIncomingContext(ctx)
	for _, value := range given.Get("authorization") {
		token, bearer := strings.CutPrefix(value, "Bearer ")
		if !bearer {
			continue
		}
		if name, found := server.dependencies.Operators.Operator(token); found {
			server.dependencies.Logger.Debug("operator call", zap.String("operator", name), zap.String("method", method))
			return context.WithValue(ctx, operatorKey{}, name), nil
		}
	}
	return nil, failure{
		code: codes.Unauthenticated, reason: ReasonUnauthenticated, retry: RetryNever,
		message: "the call carries no bearer token of an operator",
	}.status()
}

func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey{}).(string)
	return name
}

// change commits a change in the operator's name.
func (server *Server) change(ctx context.Context, request configurations.Request) (*wire.Accepted, error) {
	request.Operator = operatorOf(ctx)
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

// Create implements the call.
func (server *Server) Create(ctx context.Context, given *wire.CreateRequest) (*wire.Accepted, error) {
	return server.put(ctx, given.GetRequestId(), given.GetObject(), 0)
}

// Update implements the call.
func (server *Server) Update(ctx context.Context, given *wire.UpdateRequest) (*wire.Accepted, error) {
	if given.GetExpectedRevision() <= 0 {
		return nil, invalid("expected_revision: name the revision of the object that you have read")
	}
	return server.put(ctx, given.GetRequestId(), given.GetObject(), given.GetExpectedRevision())
}

func (server *Server) put(ctx context.Context, id string, encoded *wire.Object, expected int64) (*wire.Accepted, error) {
	object, err := FromWire(encoded)
	if err != nil {
		return nil, invalid(err.Error())
	}
	if object.Kind() == configurations.KindRollout {
		return nil, invalid("a rollout is changed by its own calls: start, pause, resume, undo")
	}
	return server.change(ctx, configurations.Request{
		ID: id, Kind: object.Kind(), Name: object.ObjectName(), Object: object, ExpectedRevision: expected,
	})
}

// Delete implements the call.
func (server *Server) Delete(ctx context.Context, given *wire.DeleteRequest) (*wire.Accepted, error) {
	kind, known := kinds[given.GetKind()]
	if !known {
		return nil, invalid("kind: name the kind of the object")
	}
	if given.GetExpectedRevision() <= 0 {
		return nil, invalid("expected_revision: name the revision of the object that you have read")
	}
	return server.change(ctx, configurations.Request{
		ID: given.GetRequestId(), Kind: kind, Name: given.GetName(), ExpectedRevision: given.GetExpectedRevision(),
	})
}

// snapshot returns the configuration in force at this entry.
func (server *Server) snapshot() (configurations.Snapshot, error) {
	snapshot := server.dependencies.Configuration.Current()
	if snapshot.Revision > 0 {
		return snapshot, nil
	}
	return snapshot, failure{
		code: codes.Unavailable, reason: ReasonNoConfiguration, retry: RetrySame,
		message: "this entry has no configuration yet: nothing was ever configured, or neither the store nor another process answers",
	}.status()
}

// Get implements the call.
func (server *Server) Get(_ context.Context, given *wire.GetRequest) (*wire.Entry, error) {
	snapshot, err := server.snapshot()
	if err != nil {
		return nil, err
	}
	kind := kinds[given.GetKind()]
	entry, found := snapshot.Find(kind, given.GetName())
	if !found {
		return nil, notFound(kind, given.GetName())
	}
	return &wire.Entry{Object: ToWire(entry.Object), Revision: entry.Revision}, nil
}

// List implements the call.
func (server *Server) List(_ context.Context, given *wire.ListRequest) (*wire.EntryList, error) {
	kind, known := kinds[given.GetKind()]
	if !known {
		return nil, invalid("kind: name the kind of the objects")
	}
	snapshot := server.dependencies.Configuration.Current()
	list := &wire.EntryList{Revision: snapshot.Revision}
	for _, entry := range snapshot.Entries() {
		if entry.Object.Kind() == kind {
			list.Entries = append(list.Entries, &wire.Entry{Object: ToWire(entry.Object), Revision: entry.Revision})
		}
	}
	return list, nil
}

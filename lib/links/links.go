// Package links connects the system's own processes by JSON-RPC 2.0 over TCP.
//
// A link is bidirectional: both ends may call and notify. The package adds what
// jsonrpc2 leaves open: a limit on message size, authentication by a shared
// key, a heartbeat in both directions, and the detection of connections that
// have gone silent while new ones would work.
package links

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"
)

const (
	// MaxMessageBytes bounds one message, so that a peer can't exhaust memory.
	// It holds a request body of 1 MiB with room for its envelope.
	MaxMessageBytes = 2 << 20
	// HeartbeatInterval is the time between two pings in each direction.
	HeartbeatInterval = time.Second
	// SilenceLimit is the time without any message after which a link is closed.
	// It leaves room for two lost heartbeats.
	SilenceLimit = 3 * time.Second

	maxCallsInFlight = 4096
	helloTimeout     = 3 * time.Second
	nonceBytes       = 16

	methodHello = "link.hello"
	methodProve = "link.prove"
	methodPing  = "link.ping"
)

// Codes of errors that a handler returns to its caller, beside those of
// JSON-RPC itself.
const (
	CodeUnauthenticated = -32001
	CodeOverloaded      = -32002
)

type (
	// Identity is what a process says of itself on a new link.
	Identity struct {
		Name        string `json:"name"`
		Role        string `json:"role"`
		DataCentre  string `json:"data_centre"`
		Incarnation string `json:"incarnation"`
	}

	// Options are the dependencies of every link of a process. HeartbeatPayload returns what
	// each ping carries and OnHeartbeat receives it; both may be nil.
	Options struct {
		Self             Identity
		Key              []byte
		TLS              *tls.Config
		Router           *Router
		HeartbeatPayload func() any
		OnHeartbeat      func(link *Link, payload json.RawMessage)
		Logger           *zap.Logger
	}

	// Link is an authenticated connection to a peer. It is safe for concurrent use.
	Link struct {
		options  Options
		stream   *countedConn
		rpc      *jsonrpc2.Conn
		peer     Identity
		nonce    string
		inFlight chan struct{}
		// ready is closed once rpc is set: the handler may run before NewConn returns.
		ready chan struct{}

		mutex  sync.Mutex
		proven bool
	}

	helloParams struct {
		Identity Identity `json:"identity"`
		Nonce    string   `json:"nonce"`
	}

	helloResult struct {
		Identity Identity `json:"identity"`
		Nonce    string   `json:"nonce"`
		Proof    string   `json:"proof"`
	}

	proveParams struct {
		Proof string `json:"proof"`
	}
)

// ErrUnauthenticated is returned by Dial when the peer does not hold the key.
var ErrUnauthenticated = errors.New("peer did not prove that it holds the fleet key")

// Dial connects to the address and authenticates both ends.
func Dial(ctx context.Context, address string, options Options) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	if options.TLS != nil {
		conn = tls.Client(conn, options.TLS)
	}
	link := newLink(conn, options)
	if err := link.introduce(ctx); err != nil {
		link.Close()
		return nil, fmt.Errorf("authenticate with %s: %w", address, err)
	}
	go link.heartbeat()
	return link, nil
}

// Serve accepts links until the context ends or the listener fails.
func Serve(ctx context.Context, listener net.Listener, options Options) error {
	if options.TLS != nil {
		listener = tls.NewListener(listener, options.TLS)
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept link: %w", err)
		}
		link := newLink(conn, options)
		time.AfterFunc(helloTimeout, link.closeUnlessProven)
	}
}

func newLink(conn net.Conn, options Options) *Link {
	link := &Link{
		options:  options,
		stream:   &countedConn{Conn: conn, silence: SilenceLimit},
		nonce:    newNonce(),
		inFlight: make(chan struct{}, maxCallsInFlight),
		ready:    make(chan struct{}),
	}
	stream := jsonrpc2.NewBufferedStream(link.stream, boundedCodec{})
	link.rpc = jsonrpc2.NewConn(context.Background(), stream, link, jsonrpc2.SetLogger(silentLogger{}))
	close(link.ready)
	return link
}

func newNonce() string {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // crypto/rand never fails on supported systems.
	return hex.EncodeToString(nonce)
}

// proof binds the two nonces and the claimed identity to the key. The side
// keeps a peer from reflecting one end's proof back to it.
func (link *Link) proof(side string, identity Identity, first, second string) string {
	mac := hmac.New(sha256.New, link.options.Key)
	claimed, _ := json.Marshal(identity)
	_, _ = fmt.Fprintf(mac, "%s|%s|%s|%s", side, first, second, claimed)
	return hex.EncodeToString(mac.Sum(nil))
}

// introduce runs the dialling end of the handshake.
func (link *Link) introduce(ctx context.Context) error {
	var hello helloResult
	params := helloParams{Identity: link.options.Self, Nonce: link.nonce}
	if err := link.rpc.Call(ctx, methodHello, params, &hello); err != nil {
		return err
	}
	if !hmac.Equal([]byte(hello.Proof), []byte(link.proof("listener", hello.Identity, link.nonce, hello.Nonce))) {
		return ErrUnauthenticated
	}
	// The peer has proved its identity, and what it sends after the own proof may
	// arrive before the call below returns.
	link.accept(hello.Identity)
	own := proveParams{Proof: link.proof("dialler", link.options.Self, hello.Nonce, link.nonce)}
	return link.rpc.Call(ctx, methodProve, own, nil)
}

func (link *Link) accept(peer Identity) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.peer = peer
	link.proven = true
}

func (link *Link) isProven() bool {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.proven
}

func (link *Link) closeUnlessProven() {
	if !link.isProven() {
		link.Close()
	}
}

// Peer returns the identity that the other end proved.
func (link *Link) Peer() Identity {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.peer
}

// Call sends a request and waits for its result. A lost connection ends it with
// jsonrpc2.ErrClosed; the peer may then have run the request or not.
func (link *Link) Call(ctx context.Context, method string, params, result any) error {
	return link.rpc.Call(ctx, method, params, result)
}

// Notify sends a message that has no answer.
func (link *Link) Notify(method string, params any) error {
	return link.rpc.Notify(context.Background(), method, params)
}

// Done is closed when the link has ended.
func (link *Link) Done() <-chan struct{} {
	return link.rpc.DisconnectNotify()
}

// Close ends the link. Calls in flight fail with jsonrpc2.ErrClosed.
func (link *Link) Close() {
	_ = link.rpc.Close()
}

// Bytes returns how many bytes the link has received and sent.
func (link *Link) Bytes() (received, sent int64) {
	return link.stream.received.Load(), link.stream.sent.Load()
}

// heartbeat pings until the link ends. Both ends ping, because each has to see
// the other's silence.
func (link *Link) heartbeat() {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-link.Done():
			return
		case <-ticker.C:
			var payload any
			if link.options.HeartbeatPayload != nil {
				payload = link.options.HeartbeatPayload()
			}
			if err := link.Notify(methodPing, payload); err != nil {
				link.Close()
				return
			}
		}
	}
}

// Handle implements jsonrpc2.Handler. It runs in the connection's read loop, so
// that notifications keep their order; requests continue in a goroutine each.
func (link *Link) Handle(_ context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) {
	<-link.ready
	switch request.Method {
	case methodHello:
		link.onHello(request)
	case methodProve:
		link.onProve(request)
	case methodPing:
		if link.isProven() && link.options.OnHeartbeat != nil && request.Params != nil {
			link.options.OnHeartbeat(link, *request.Params)
		}
	default:
		link.route(request)
	}
}

func (link *Link) onHello(request *jsonrpc2.Request) {
	var hello helloParams
	if request.Params == nil || json.Unmarshal(*request.Params, &hello) != nil {
		link.reject(request, jsonrpc2.CodeInvalidParams, "malformed hello")
		return
	}
	link.mutex.Lock()
	link.peer = hello.Identity
	link.mutex.Unlock()
	link.reply(request, helloResult{
		Identity: link.options.Self,
		Nonce:    link.nonce,
		Proof:    link.proof("listener", link.options.Self, hello.Nonce, link.nonce),
	})
	link.mutex.Lock()
	link.nonce += "|" + hello.Nonce
	link.mutex.Unlock()
}

func (link *Link) onProve(request *jsonrpc2.Request) {
	var given proveParams
	if request.Params == nil || json.Unmarshal(*request.Params, &given) != nil {
		link.reject(request, jsonrpc2.CodeInvalidParams, "malformed proof")
		return
	}
	link.mutex.Lock()
	peer, nonces := link.peer, link.nonce
	link.mutex.Unlock()
	own, theirs := splitNonces(nonces)
	if !hmac.Equal([]byte(given.Proof), []byte(link.proof("dialler", peer, own, theirs))) {
		link.options.Logger.Warn("link refused", zap.String("peer", peer.Name), zap.String("reason", "wrong proof"))
		link.reject(request, CodeUnauthenticated, ErrUnauthenticated.Error())
		link.Close()
		return
	}
	link.accept(peer)
	link.reply(request, struct{}{})
	go link.heartbeat()
	if link.options.Router.onLink != nil {
		link.options.Router.onLink(link)
	}
}

func splitNonces(both string) (own, theirs string) {
	return both[:nonceBytes*2], both[min(len(both), nonceBytes*2+1):]
}

func (link *Link) route(request *jsonrpc2.Request) {
	if !link.isProven() {
		link.reject(request, CodeUnauthenticated, "the link is not authenticated")
		return
	}
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	if request.Notif {
		link.options.Router.notify(link, request.Method, params)
		return
	}
	select {
	case link.inFlight <- struct{}{}:
	default:
		link.reject(request, CodeOverloaded, "too many calls in flight on this link")
		return
	}
	go func() {
		defer func() { <-link.inFlight }()
		link.answer(request, params)
	}()
}

func (link *Link) answer(request *jsonrpc2.Request, params json.RawMessage) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	result, err := link.options.Router.call(ctx, link, request.Method, params)
	if err != nil {
		var coded *jsonrpc2.Error
		if !errors.As(err, &coded) {
			coded = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
		}
		link.reject(request, coded.Code, coded.Message)
		return
	}
	link.reply(request, result)
}

func (link *Link) reply(request *jsonrpc2.Request, result any) {
	if err := link.rpc.Reply(context.Background(), request.ID, result); err != nil {
		link.Close()
	}
}

func (link *Link) reject(request *jsonrpc2.Request, code int64, message string) {
	if request.Notif {
		return
	}
	_ = link.rpc.ReplyWithError(context.Background(), request.ID, &jsonrpc2.Error{Code: code, Message: message})
}

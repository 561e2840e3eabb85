// Package links connects the processes of this system by JSON-RPC 2.0 over TCP.
//
// A link is bidirectional: both ends may send calls and notifications. The
// package adds what jsonrpc2 leaves to its user: a limit on the message size,
// mutual authentication with a shared key, heartbeats in both directions, and
// the detection of connections that have gone silent although new ones would
// work.
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
	// MaxMessageBytes limits the size of one message, so that a peer can't exhaust
	// memory. A request body of 1 MiB fits in it with its envelope.
	MaxMessageBytes = 2 << 20
	// HeartbeatInterval is the time between two pings in the same direction.
	HeartbeatInterval = time.Second
	// SilenceLimit is the time without any message after which a link is closed.
	// Two consecutive heartbeats may be lost within it.
	SilenceLimit = 3 * time.Second

	maxCallsInFlight = 4096
	handshakeTimeout = 3 * time.Second
	nonceBytes       = 16

	methodHello = "link.hello"
	methodProve = "link.prove"
	methodPing  = "link.ping"
)

// Error codes that a handler returns to its caller, besides those of JSON-RPC.
const (
	CodeUnauthenticated = -32001
	CodeOverloaded      = -32002
)

type (
	// Identity is what a process claims about itself when a link is opened.
	Identity struct {
		Name        string `json:"name"`
		Role        string `json:"role"`
		DataCentre  string `json:"data_centre"`
		Incarnation string `json:"incarnation"`
	}

	// Options are the dependencies that all links of a process share.
	// HeartbeatPayload returns what each ping carries and OnHeartbeat receives the
	// peer's payload; both may be nil.
	Options struct {
		Self             Identity
		Key              []byte
		TLS              *tls.Config
		Router           *Router
		HeartbeatPayload func() any
		OnHeartbeat      func(link *Link, payload json.RawMessage)
		Logger           *zap.Logger
	}

	// Link is an authenticated connection to a peer. It is safe for concurrent
	// use.
	Link struct {
		options  Options
		conn     *monitoredConn
		rpc      *jsonrpc2.Conn
		peer     Identity
		nonce    string
		inFlight chan struct{}
		// peerNonce is the nonce of the dialler's hello, empty before it.
		peerNonce string
		// ready is closed once rpc is set: the handler may run before NewConn
		// returns.
		ready chan struct{}

		mutex         sync.Mutex
		authenticated bool
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

// ErrUnauthenticated is returned by Dial when the peer doesn't prove that it
// holds the key.
var ErrUnauthenticated = errors.New("peer did not prove that it holds the fleet key")

// Dial opens a link to the address and authenticates both ends.
func Dial(ctx context.Context, address string, options Options) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	if options.TLS != nil {
		conn = tls.Client(conn, options.TLS)
	}
	link := newLink(conn, options)
	if err := link.authenticate(ctx); err != nil {
		link.Close()
		return nil, fmt.Errorf("authenticate with %s: %w", address, err)
	}
	go link.sendHeartbeats()
	return link, nil
}

// Serve accepts links until the context ends, and then returns nil, or until
// the listener fails. It closes the listener at the end of the context.
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
		time.AfterFunc(handshakeTimeout, link.closeUnlessAuthenticated)
	}
}

func newLink(conn net.Conn, options Options) *Link {
	link := &Link{
		options:  options,
		conn:     &monitoredConn{Conn: conn, silenceLimit: SilenceLimit},
		nonce:    newNonce(),
		inFlight: make(chan struct{}, maxCallsInFlight),
		ready:    make(chan struct{}),
	}
	stream := jsonrpc2.NewBufferedStream(link.conn, boundedCodec{})
	link.rpc = jsonrpc2.NewConn(context.Background(), stream, link, jsonrpc2.SetLogger(discardLogger{}))
	close(link.ready)
	return link
}

func newNonce() string {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // crypto/rand never fails on supported systems.
	return hex.EncodeToString(nonce)
}

// computeProof returns a MAC over the two nonces and the claimed identity. It
// includes the side, so that a peer can't send one end's proof back to that
// end.
func (link *Link) computeProof(side string, identity Identity, first, second string) string {
	mac := hmac.New(sha256.New, link.options.Key)
	claimed, _ := json.Marshal(identity)
	_, _ = fmt.Fprintf(mac, "%s|%s|%s|%s", side, first, second, claimed)
	return hex.EncodeToString(mac.Sum(nil))
}

// authenticate runs the dialler's side of the handshake.
func (link *Link) authenticate(ctx context.Context) error {
	var hello helloResult
	params := helloParams{Identity: link.options.Self, Nonce: link.nonce}
	if err := link.rpc.Call(ctx, methodHello, params, &hello); err != nil {
		return err
	}
	if !hmac.Equal([]byte(hello.Proof), []byte(link.computeProof("listener", hello.Identity, link.nonce, hello.Nonce))) {
		return ErrUnauthenticated
	}
	// The peer has proved its identity. The link is marked as authenticated before
	// this end sends its own proof, because messages of the peer may then arrive
	// before the call returns.
	link.markAuthenticated(hello.Identity)
	ownProof := proveParams{Proof: link.computeProof("dialler", link.options.Self, hello.Nonce, link.nonce)}
	return link.rpc.Call(ctx, methodProve, ownProof, nil)
}

func (link *Link) markAuthenticated(peer Identity) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.peer = peer
	link.authenticated = true
}

func (link *Link) isAuthenticated() bool {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.authenticated
}

func (link *Link) closeUnlessAuthenticated() {
	if !link.isAuthenticated() {
		link.Close()
	}
}

// Peer returns the identity that the other end has proved.
func (link *Link) Peer() Identity {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return link.peer
}

// Call sends a request and waits for its result. If the connection is lost it
// returns jsonrpc2.ErrClosed; the peer may or may not have run the request.
func (link *Link) Call(ctx context.Context, method string, params, result any) error {
	return link.rpc.Call(ctx, method, params, result)
}

// Notify sends a message that gets no response.
func (link *Link) Notify(method string, params any) error {
	return link.rpc.Notify(context.Background(), method, params)
}

// Done returns a channel that is closed when the link has ended.
func (link *Link) Done() <-chan struct{} {
	return link.rpc.DisconnectNotify()
}

// Close ends the link. Calls in flight fail with jsonrpc2.ErrClosed.
func (link *Link) Close() {
	_ = link.rpc.Close()
}

// Bytes returns the number of bytes that the link has received and sent.
func (link *Link) Bytes() (received, sent int64) {
	return link.conn.received.Load(), link.conn.sent.Load()
}

// sendHeartbeats sends pings until the link ends. Both ends send them, because
// each has to detect the silence of the other.
func (link *Link) sendHeartbeats() {
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

// Handle implements jsonrpc2.Handler. It runs in the read loop of the
// connection, so that notifications are handled in order; each call continues
// in its own goroutine.
func (link *Link) Handle(_ context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) {
	<-link.ready
	switch request.Method {
	case methodHello:
		link.handleHello(request)
	case methodProve:
		link.handleProof(request)
	case methodPing:
		if link.isAuthenticated() && link.options.OnHeartbeat != nil && request.Params != nil {
			link.options.OnHeartbeat(link, *request.Params)
		}
	default:
		link.dispatch(request)
	}
}

func (link *Link) handleHello(request *jsonrpc2.Request) {
	var hello helloParams
	if request.Params == nil || json.Unmarshal(*request.Params, &hello) != nil {
		link.replyWithError(request, jsonrpc2.CodeInvalidParams, "malformed hello")
		return
	}
	if len(hello.Nonce) != hex.EncodedLen(nonceBytes) || !link.acceptHello(hello) {
		link.replyWithError(request, jsonrpc2.CodeInvalidParams, "malformed or repeated hello")
		link.Close()
		return
	}
	link.reply(request, helloResult{
		Identity: link.options.Self,
		Nonce:    link.nonce,
		Proof:    link.computeProof("listener", link.options.Self, hello.Nonce, link.nonce),
	})
}

// acceptHello records the identity that the dialler claims. It returns false for a
// second hello: it would claim another identity than the one that was proved.
func (link *Link) acceptHello(hello helloParams) bool {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if link.peerNonce != "" || link.authenticated {
		return false
	}
	link.peer, link.peerNonce = hello.Identity, hello.Nonce
	return true
}

func (link *Link) handleProof(request *jsonrpc2.Request) {
	var received proveParams
	if request.Params == nil || json.Unmarshal(*request.Params, &received) != nil {
		link.replyWithError(request, jsonrpc2.CodeInvalidParams, "malformed proof")
		return
	}
	link.mutex.Lock()
	peer, peerNonce := link.peer, link.peerNonce
	link.mutex.Unlock()
	if peerNonce == "" || !hmac.Equal([]byte(received.Proof), []byte(link.computeProof("dialler", peer, link.nonce, peerNonce))) {
		link.options.Logger.Warn("link refused", zap.String("peer", peer.Name), zap.String("reason", "wrong proof"))
		link.replyWithError(request, CodeUnauthenticated, ErrUnauthenticated.Error())
		link.Close()
		return
	}
	link.markAuthenticated(peer)
	link.reply(request, struct{}{})
	go link.sendHeartbeats()
	if link.options.Router.onLink != nil {
		link.options.Router.onLink(link)
	}
}

func (link *Link) dispatch(request *jsonrpc2.Request) {
	if !link.isAuthenticated() {
		link.replyWithError(request, CodeUnauthenticated, "the link is not authenticated")
		return
	}
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	if request.Notif {
		link.options.Router.handleNotification(link, request.Method, params)
		return
	}
	select {
	case link.inFlight <- struct{}{}:
	default:
		link.replyWithError(request, CodeOverloaded, "too many calls in flight on this link")
		return
	}
	go func() {
		defer func() { <-link.inFlight }()
		link.runCall(request, params)
	}()
}

func (link *Link) runCall(request *jsonrpc2.Request, params json.RawMessage) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	result, err := link.options.Router.handleCall(ctx, link, request.Method, params)
	if err != nil {
		var coded *jsonrpc2.Error
		if !errors.As(err, &coded) {
			coded = &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
		}
		link.replyWithError(request, coded.Code, coded.Message)
		return
	}
	link.reply(request, result)
}

func (link *Link) reply(request *jsonrpc2.Request, result any) {
	if err := link.rpc.Reply(context.Background(), request.ID, result); err != nil {
		link.Close()
	}
}

func (link *Link) replyWithError(request *jsonrpc2.Request, code int64, message string) {
	if request.Notif {
		return
	}
	_ = link.rpc.ReplyWithError(context.Background(), request.ID, &jsonrpc2.Error{Code: code, Message: message})
}

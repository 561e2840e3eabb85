package stagings

// Agents exchange manifests and pieces over HTTP. An agent that receives a request
// for a piece which it is still fetching delays its answer for a moment (long
// polling), because the requester would otherwise turn to the origin or repeat
// the request.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"firford/lib/dialers"
)

const (
	// longPollTimeout is how long a request waits for a piece that is still being
	// fetched.
	longPollTimeout = 250 * time.Millisecond
	// longPollInterval is the interval between checks whether a version has become
	// known.
	longPollInterval = 20 * time.Millisecond
	// peerCallTimeout bounds a request to a peer. It covers the long poll and the
	// transfer of the piece over a link of a few Mbit/s that is shared with the
	// answers to live requests.
	peerCallTimeout = 2*longPollTimeout + 800*time.Millisecond
	// pushTimeout bounds the push of one piece to a peer.
	pushTimeout = 700 * time.Millisecond
	// maxReceivedPushes limits the pieces that peers push to one agent at the same time,
	// and offerTimeout is how long a peer waits for its turn. Without the limit, a dozen
	// peers fill a link that has become narrow for seconds, and requests for the engine
	// wait behind their pieces.
	maxReceivedPushes = 2
	offerTimeout      = 100 * time.Millisecond
	// receiveTimeout is how long an accepted offer keeps its place if no piece follows.
	receiveTimeout = 500 * time.Millisecond
	// maxPeerConnections limits the connections to one peer.
	maxPeerConnections = 12
	peerIdleTimeout    = 5 * time.Second
	pathManifest       = "/manifests/"
	pathPiece          = "/pieces/"
	pathHeld           = "/held/"
	pathOffer          = "/offers/"
	// maxPieceBytes bounds pieces and manifests. An agent holds all pieces of a version in
	// the memory of its host, of 152 MB.
	maxPieceBytes = 2 << 20
	// maxControlBytes bounds the other answers of peers. An agent may get some hundred of
	// them at the same time, and the longest, the set of held pieces, has a bit a piece.
	maxControlBytes = 16 << 10
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 4 << 10
)

// offerAccepted is the answer to the offer of a piece that the peer lacks.
const offerAccepted = "send"

var (
	// errPending is returned when a peer does not have a piece or a version yet but
	// is expected to get it soon.
	errPending = errors.New("the peer is still fetching the piece")
	// errBusy is returned when a peer is taking as many pieces as it accepts.
	errBusy = errors.New("the peer is taking other pieces")
)

type (
	// Server serves this agent's manifests and pieces to its peers and accepts the
	// pieces that they push.
	Server struct {
		node   *Node
		http   *fasthttp.Server
		upload *rate.Limiter
	}

	// peerClient calls peers. Content serves calls for pieces and manifests, control all
	// others, whose answers are short.
	peerClient struct{ content, control *fasthttp.Client }
)

func newPeerClient() *peerClient {
	return &peerClient{content: newHTTPClient(maxPieceBytes), control: newHTTPClient(maxControlBytes)}
}

// newHTTPClient returns a client for which an answer with a longer body is an error.
func newHTTPClient(maxAnswerBytes int) *fasthttp.Client {
	return &fasthttp.Client{
		MaxConnsPerHost:           maxPeerConnections,
		MaxIdleConnDuration:       peerIdleTimeout,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxAnswerBytes,
		ReadBufferSize:            maxHeadBytes,
		Dial: func(address string) (net.Conn, error) {
			return dialers.DialForRequests(address, connectTimeout, peerCallTimeout)
		},
	}
}

func (client *peerClient) get(address, path string) ([]byte, error) {
	return call(client.content, http.MethodGet, address, path, nil, peerCallTimeout)
}

// push sends a piece to a peer that has not requested it.
func (client *peerClient) push(address, model string, version, piece int, body []byte) error {
	_, err := call(client.control, http.MethodPut, address, piecePath(pathPiece, model, version, piece), body, pushTimeout)
	return err
}

// offer asks a peer whether it takes a piece. It waits until the peer is ready for one,
// and returns false if the peer has the piece.
func (client *peerClient) offer(address, model string, version, piece int) (isWanted bool, err error) {
	answer, err := call(client.control, http.MethodGet, address, piecePath(pathOffer, model, version, piece), nil, offerTimeout+connectTimeout)
	return err == nil && string(answer) == offerAccepted, err
}

func piecePath(prefix, model string, version, piece int) string {
	return prefix + model + "/" + strconv.Itoa(version) + "/" + strconv.Itoa(piece)
}

func call(client *fasthttp.Client, method, address, path string, body []byte, timeout time.Duration) ([]byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	request.SetBody(body)
	if err := client.DoTimeout(request, response, timeout); err != nil {
		return nil, fmt.Errorf("request to peer %s: %w", address, err)
	}
	if response.StatusCode() == http.StatusTooEarly || response.StatusCode() == http.StatusNotFound {
		// A peer that does not know the version yet is expected to know it soon.
		return nil, errPending
	}
	if response.StatusCode() == http.StatusTooManyRequests {
		return nil, errBusy
	}
	if response.StatusCode() != http.StatusOK {
		return nil, fmt.Errorf("peer %s: status %d", address, response.StatusCode())
	}
	return append([]byte(nil), response.Body()...), nil
}

func (client *peerClient) fetchManifest(address, model string, version int) (Manifest, error) {
	body, err := client.get(address, pathManifest+model+"/"+strconv.Itoa(version))
	if err != nil {
		return Manifest{}, err
	}
	var manifest Manifest
	if err := json.Unmarshal(body, &manifest); err != nil {
		return Manifest{}, fmt.Errorf("manifest from peer %s: %w", address, err)
	}
	return manifest, nil
}

func (client *peerClient) fetchPiece(address, model string, version, piece int) ([]byte, error) {
	return client.get(address, piecePath(pathPiece, model, version, piece))
}

// NewServer returns a server for the node's content. The limiter upload bounds the
// bytes that it sends a second.
func NewServer(node *Node, upload *rate.Limiter) *Server {
	server := &Server{node: node, upload: upload}
	server.http = &fasthttp.Server{Handler: server.handle, Name: "firford", MaxRequestBodySize: maxPieceBytes}
	return server
}

// Serve accepts connections from the listener until the context ends.
func (server *Server) Serve(ctx context.Context, listener net.Listener) error {
	context.AfterFunc(ctx, func() { _ = server.http.Shutdown() })
	return server.http.Serve(listener)
}

func (server *Server) handle(ctx *fasthttp.RequestCtx) {
	parts := strings.Split(string(ctx.Path()), "/")
	switch {
	case len(parts) == 4 && parts[1] == "held":
		server.serveHeldPieces(ctx, parts[2], parts[3])
	case len(parts) == 4 && parts[1] == "manifests":
		server.serveManifest(ctx, parts[2], parts[3])
	case len(parts) == 5 && parts[1] == "offers":
		server.serveOffer(ctx, parts[2], parts[3], parts[4])
	case len(parts) == 5 && parts[1] == "pieces" && ctx.IsPut():
		server.receivePush(ctx, parts[2], parts[3], parts[4])
	case len(parts) == 5 && parts[1] == "pieces":
		server.servePiece(ctx, parts[2], parts[3], parts[4])
	default:
		ctx.SetStatusCode(http.StatusNotFound)
	}
}

// serveHeldPieces answers with the set of pieces of a version that this agent has. An
// agent that will not fetch the version says so, so that no other one waits for it.
func (server *Server) serveHeldPieces(ctx *fasthttp.RequestCtx, model, version string) {
	if !server.node.takesPart(version) {
		ctx.SetStatusCode(http.StatusGone)
		return
	}
	content := server.node.contentOf(model, version)
	if content == nil {
		ctx.SetStatusCode(http.StatusNotFound)
		return
	}
	ctx.SetBodyString(content.heldPieces().Encode())
}

func (server *Server) serveManifest(ctx *fasthttp.RequestCtx, model, version string) {
	content := server.waitForContent(model, version)
	if content == nil {
		ctx.SetStatusCode(http.StatusNotFound)
		return
	}
	body, err := json.Marshal(content.manifest)
	if err != nil {
		server.node.Logger.Error("failed to encode manifest", zap.Error(err))
		ctx.SetStatusCode(http.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}

// waitForContent returns the content of a version. If the version is unknown, it
// waits up to longPollTimeout for it and then returns nil.
func (server *Server) waitForContent(model, version string) *content {
	for until := time.Now().Add(longPollTimeout); ; time.Sleep(longPollInterval) {
		content := server.node.contentOf(model, version)
		if content != nil || time.Now().After(until) {
			return content
		}
	}
}

func (server *Server) servePiece(ctx *fasthttp.RequestCtx, model, version, piece string) {
	if !server.node.takesPart(version) {
		ctx.SetStatusCode(http.StatusGone)
		return
	}
	content := server.waitForContent(model, version)
	index, err := strconv.Atoi(piece)
	if content == nil || err != nil {
		ctx.SetStatusCode(http.StatusNotFound)
		return
	}
	body := waitForPiece(content, index, longPollTimeout)
	if body == nil {
		ctx.SetStatusCode(http.StatusTooEarly)
		return
	}
	if err := server.upload.WaitN(context.Background(), len(body)); err != nil {
		server.node.Logger.Warn("failed to send piece", zap.Error(err))
		ctx.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	ctx.SetBody(body)
}

// serveOffer accepts the offer of a piece if it is missing, once fewer than
// maxReceivedPushes others are on their way.
func (server *Server) serveOffer(ctx *fasthttp.RequestCtx, model, version, piece string) {
	content := server.node.contentOf(model, version)
	index, err := strconv.Atoi(piece)
	if content == nil || err != nil {
		ctx.SetStatusCode(http.StatusNotFound)
		return
	}
	select {
	case server.node.receiving <- struct{}{}:
	case <-time.After(offerTimeout):
		ctx.SetStatusCode(http.StatusTooManyRequests)
		return
	}
	if body, _ := content.get(index); body != nil {
		<-server.node.receiving
		return
	}
	ctx.SetBodyString(offerAccepted)
	go func() {
		waitForPiece(content, index, receiveTimeout)
		<-server.node.receiving
	}()
}

// receivePush stores a piece that another agent pushes.
func (server *Server) receivePush(ctx *fasthttp.RequestCtx, model, version, piece string) {
	content := server.node.contentOf(model, version)
	index, err := strconv.Atoi(piece)
	switch {
	case content == nil || err != nil:
		ctx.SetStatusCode(http.StatusNotFound)
	case !server.node.acceptPush(content, index, append([]byte(nil), ctx.PostBody()...)):
		ctx.SetStatusCode(http.StatusUnprocessableEntity)
	}
}

// waitForPiece returns a piece, or nil if it does not arrive within the limit.
func waitForPiece(content *content, piece int, limit time.Duration) []byte {
	for timeout := time.After(limit); ; {
		body, changed := content.get(piece)
		if body != nil {
			return body
		}
		select {
		case <-changed:
		case <-timeout:
			return nil
		}
	}
}

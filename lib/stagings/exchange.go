package stagings

// Agents hand each other manifests and pieces over HTTP. An agent that is asked
// for a piece that it is fetching itself holds the question for a moment,
// because its asker would otherwise go to the origin or ask again and again.

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
	// holdTime is how long a question for a piece on its way is held.
	holdTime = 250 * time.Millisecond
	// holdPause is the pause between looks for a version that is not known yet.
	holdPause = 20 * time.Millisecond
	// askTimeout bounds a question to a peer: the hold, and the piece's way over a
	// link of a few Mbit/s that live answers share.
	askTimeout = 2*holdTime + 800*time.Millisecond
	// handTimeout bounds the way of one piece to a peer.
	handTimeout = 700 * time.Millisecond
	// peerConnections bounds the connections to one peer.
	peerConnections = 12
	peerIdle        = 5 * time.Second
	pathManifest    = "/manifests/"
	pathPiece       = "/pieces/"
	pathHeld        = "/held/"
	mostPieceBytes  = 16 << 20
)

// errPending means that the peer is still fetching the piece.
var errPending = errors.New("the peer is still fetching the piece")

type (
	// Server hands out what this agent holds.
	Server struct {
		node   *Node
		http   *fasthttp.Server
		upload *rate.Limiter
	}

	peers struct {
		client *fasthttp.Client
	}
)

func newPeers() *peers {
	return &peers{client: &fasthttp.Client{
		MaxConnsPerHost:           peerConnections,
		MaxIdleConnDuration:       peerIdle,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       mostPieceBytes,
		Dial: func(address string) (net.Conn, error) {
			return dialers.New(connectTimeout, askTimeout).Dial("tcp", address)
		},
	}}
}

func (peers *peers) get(address, path string) ([]byte, error) {
	return peers.call(http.MethodGet, address, path, nil, askTimeout)
}

// hand sends a piece to a peer.
func (peers *peers) hand(address, model string, version, piece int, body []byte) error {
	_, err := peers.call(http.MethodPut, address, piecePath(model, version, piece), body, handTimeout)
	return err
}

func piecePath(model string, version, piece int) string {
	return pathPiece + model + "/" + strconv.Itoa(version) + "/" + strconv.Itoa(piece)
}

func (peers *peers) call(method, address, path string, body []byte, timeout time.Duration) ([]byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	request.SetBody(body)
	if err := peers.client.DoTimeout(request, response, timeout); err != nil {
		return nil, fmt.Errorf("ask peer %s: %w", address, err)
	}
	if response.StatusCode() == http.StatusTooEarly || response.StatusCode() == http.StatusNotFound {
		// A peer that does not know the version yet is about to hear of it.
		return nil, errPending
	}
	if response.StatusCode() != http.StatusOK {
		return nil, fmt.Errorf("peer %s: status %d", address, response.StatusCode())
	}
	return append([]byte(nil), response.Body()...), nil
}

func (peers *peers) manifest(address, model string, version int) (Manifest, error) {
	body, err := peers.get(address, pathManifest+model+"/"+strconv.Itoa(version))
	if err != nil {
		return Manifest{}, err
	}
	var manifest Manifest
	if err := json.Unmarshal(body, &manifest); err != nil {
		return Manifest{}, fmt.Errorf("manifest from peer %s: %w", address, err)
	}
	return manifest, nil
}

func (peers *peers) piece(address, model string, version, piece int) ([]byte, error) {
	return peers.get(address, piecePath(model, version, piece))
}

// NewServer returns a server of the node's content. Upload limits the bytes a
// second that it sends.
func NewServer(node *Node, upload *rate.Limiter) *Server {
	server := &Server{node: node, upload: upload}
	server.http = &fasthttp.Server{Handler: server.handle, Name: "firford"}
	return server
}

// Serve answers until the context ends.
func (server *Server) Serve(ctx context.Context, listener net.Listener) error {
	context.AfterFunc(ctx, func() { _ = server.http.Shutdown() })
	return server.http.Serve(listener)
}

func (server *Server) handle(ctx *fasthttp.RequestCtx) {
	parts := strings.Split(string(ctx.Path()), "/")
	switch {
	case len(parts) == 4 && parts[1] == "held":
		server.held(ctx, parts[2], parts[3])
	case len(parts) == 4 && parts[1] == "manifests":
		server.manifest(ctx, parts[2], parts[3])
	case len(parts) == 5 && parts[1] == "pieces" && ctx.IsPut():
		server.accept(ctx, parts[2], parts[3], parts[4])
	case len(parts) == 5 && parts[1] == "pieces":
		server.piece(ctx, parts[2], parts[3], parts[4])
	default:
		ctx.SetStatusCode(http.StatusNotFound)
	}
}

// held tells which pieces of a version are here.
func (server *Server) held(ctx *fasthttp.RequestCtx, model, version string) {
	content := server.node.held(model, version)
	if content == nil {
		ctx.SetStatusCode(http.StatusNotFound)
		return
	}
	ctx.SetBodyString(content.held().Encode())
}

func (server *Server) manifest(ctx *fasthttp.RequestCtx, model, version string) {
	content := server.hold(model, version)
	if content == nil {
		ctx.SetStatusCode(http.StatusNotFound)
		return
	}
	body, err := json.Marshal(content.manifest)
	if err != nil {
		server.node.Logger.Error("manifest not encoded", zap.Error(err))
		ctx.SetStatusCode(http.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}

// hold returns the content of a version, which may become known in a moment.
func (server *Server) hold(model, version string) *content {
	for until := time.Now().Add(holdTime); ; time.Sleep(holdPause) {
		content := server.node.held(model, version)
		if content != nil || time.Now().After(until) {
			return content
		}
	}
}

func (server *Server) piece(ctx *fasthttp.RequestCtx, model, version, piece string) {
	content := server.hold(model, version)
	index, err := strconv.Atoi(piece)
	if content == nil || err != nil {
		ctx.SetStatusCode(http.StatusNotFound)
		return
	}
	body := wait(content, index)
	if body == nil {
		ctx.SetStatusCode(http.StatusTooEarly)
		return
	}
	if err := server.upload.WaitN(context.Background(), len(body)); err != nil {
		server.node.Logger.Warn("piece not sent", zap.Error(err))
		ctx.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	ctx.SetBody(body)
}

// accept takes a piece that another agent hands over.
func (server *Server) accept(ctx *fasthttp.RequestCtx, model, version, piece string) {
	content := server.node.held(model, version)
	index, err := strconv.Atoi(piece)
	switch {
	case content == nil || err != nil:
		ctx.SetStatusCode(http.StatusNotFound)
	case !server.node.accept(content, index, append([]byte(nil), ctx.PostBody()...)):
		ctx.SetStatusCode(http.StatusUnprocessableEntity)
	}
}

func wait(content *content, piece int) []byte {
	for timeout := time.After(holdTime); ; {
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

// Package server simulates the platform: table, objects, weight origin and
// membership list on one HTTP address, kept in memory, with switches for the
// faults that the real services have.
//
// It implements the protocol of the client in lib/platform. In-process fakes
// behind the interfaces were rejected, because lost responses, limited links and
// silent connections only occur when bytes pass through a socket.
package server

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"firford/lib/hosts"
	"firford/lib/platform"
)

const (
	maxBodyBytes    = 8 << 20
	maxObjects      = 100_000
	maxRowsPerWrite = 1000
)

type (
	// Settings are the limits and the initial state of a server. An empty token
	// turns authentication off. A limit of zero means that there is no limit.
	Settings struct {
		Token                string
		OriginBytesPerSecond int64
		WritesPerSecond      int
		ReadsPerSecond       int
		MembershipLag        time.Duration
		Hosts                []hosts.Host
	}

	// Server implements all services of the platform. It is safe for concurrent use.
	Server struct {
		token      string
		table      *table
		origin     *origin
		membership *membership
		faults     *faults
		counter    *counter
		reads      *rate.Limiter
		writes     *rate.Limiter

		mutex       sync.Mutex
		objects     map[string][]byte
		state       state
		connections *connections
		serveCtx    context.Context // Ends when the server stops.
	}

	transaction struct {
		Conditions []platform.Condition `json:"conditions"`
		Writes     []platform.Write     `json:"writes"`
	}

	revisionResult struct {
		Revision int64 `json:"revision"`
	}

	rowList struct {
		Rows []platform.Row `json:"rows"`
	}
)

var errTooManyObjects = errors.New("too many objects")

// New returns a server whose only state is the hosts of the settings.
func New(settings Settings) *Server {
	faults := newFaults(settings.MembershipLag.Milliseconds())
	return &Server{
		token:      settings.Token,
		table:      newTable(),
		origin:     newOrigin(settings.OriginBytesPerSecond, &faults.originUnavailable),
		membership: newMembership(settings.Hosts),
		faults:     faults,
		counter:    newCounter(),
		reads:      newLimiter(settings.ReadsPerSecond),
		writes:     newLimiter(settings.WritesPerSecond),
		objects:    map[string][]byte{},
		serveCtx:   context.Background(),
	}
}

// PersistState loads the state that an earlier server has left in the folder and
// writes all later changes there. Call it before Serve.
func (server *Server) PersistState(folder string) error {
	restored, err := openState(folder, server.table, server.objects, server.origin)
	if err != nil {
		return err
	}
	server.state = restored
	server.table.commit = restored.commit
	return nil
}

// newLimiter returns a limiter that allows a burst of one second.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Serve answers requests on the listener until the context ends, then closes all
// connections. It returns nil if the context has ended.
func (server *Server) Serve(ctx context.Context, listener net.Listener) error {
	connections := newConnections(listener)
	server.mutex.Lock()
	server.connections = connections
	server.serveCtx = ctx
	server.mutex.Unlock()
	http := &fasthttp.Server{
		Handler:            server.handle,
		Name:               "fakeplatform",
		MaxRequestBodySize: maxBodyBytes,
		StreamRequestBody:  true,
		CloseOnShutdown:    true,
	}
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
		connections.closeAll()
	})
	defer stop()
	err := http.Serve(connections)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (server *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/ready":
		ctx.SetBodyString("ok\n")
		return
	case "/counters":
		writeJSON(ctx, server.counter.snapshot(server.origin.sent.Load()))
		return
	case "/faults":
		server.handleFaults(ctx)
		return
	}
	if !server.isAuthenticated(ctx) {
		ctx.Error("wrong or missing bearer token", fasthttp.StatusUnauthorized)
		return
	}
	switch service, name, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/"); service {
	case "table":
		server.handleTable(ctx, name)
	case "objects":
		server.handleObject(ctx, name)
	case "weights":
		server.handleWeights(ctx, name)
	case "membership":
		server.handleMembership(ctx, name)
	default:
		ctx.Error("unknown service", fasthttp.StatusNotFound)
	}
}

func (server *Server) isAuthenticated(ctx *fasthttp.RequestCtx) bool {
	given := ctx.Request.Header.Peek("Authorization")
	return server.token == "" || subtle.ConstantTimeCompare(given, []byte("Bearer "+server.token)) == 1
}

// writeJSON writes the value as the body of the response.
func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

// readBody returns the body of a request. It refuses one without a length or above
// maxBodyBytes and returns false.
func readBody(ctx *fasthttp.RequestCtx) ([]byte, bool) {
	size := ctx.Request.Header.ContentLength()
	if size < 0 || size > maxBodyBytes {
		ctx.Error("body without length or too large", fasthttp.StatusRequestEntityTooLarge)
		return nil, false
	}
	return ctx.PostBody(), true
}

// decodeBody decodes the JSON body of a request. It refuses a malformed body and
// returns false.
func decodeBody(ctx *fasthttp.RequestCtx, value any) bool {
	encoded, ok := readBody(ctx)
	if !ok {
		return false
	}
	if err := json.Unmarshal(encoded, value); err != nil {
		ctx.Error(fmt.Sprintf("malformed body: %v", err), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// admitRead applies delay, outage and rate limit to a read of the table, the
// objects or the membership list. If the read is refused, it writes the response
// and returns false.
func (server *Server) admitRead(ctx *fasthttp.RequestCtx, key string, unavailable func(FaultState) bool) bool {
	if unavailable(server.faults.afterDelay()) {
		ctx.Error("outage", fasthttp.StatusServiceUnavailable)
		return false
	}
	if !server.reads.Allow() {
		server.counter.increment(func(total *Counters) *int64 { return &total.RefusedReads })
		ctx.Error("too many reads", fasthttp.StatusTooManyRequests)
		return false
	}
	server.counter.addRead(key)
	return true
}

// admitWrite applies delay, outage and rate limit to a write. If the write is
// refused, it writes the response and returns false.
func (server *Server) admitWrite(ctx *fasthttp.RequestCtx, keys ...string) bool {
	if server.faults.afterDelay().Outage {
		ctx.Error("outage", fasthttp.StatusServiceUnavailable)
		return false
	}
	if !server.writes.Allow() {
		server.counter.increment(func(total *Counters) *int64 { return &total.RefusedWrites })
		ctx.Error("too many writes", fasthttp.StatusTooManyRequests)
		return false
	}
	server.counter.addWrite(keys...)
	return true
}

// maybeLoseAnswer closes the connection without a response for the configured share
// of writes.
func (server *Server) maybeLoseAnswer(ctx *fasthttp.RequestCtx) {
	if !server.faults.losesAnswer() {
		return
	}
	server.counter.increment(func(total *Counters) *int64 { return &total.LostAnswers })
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) { _ = conn.Close() })
}

func storeUnavailable(state FaultState) bool { return state.Outage }

func membershipUnavailable(state FaultState) bool { return state.MembershipOutage }

func (server *Server) handleTable(ctx *fasthttp.RequestCtx, operation string) {
	arguments := ctx.QueryArgs()
	switch operation {
	case "transact":
		server.transact(ctx)
	case "row":
		key := string(arguments.Peek("key"))
		if !server.admitRead(ctx, key, storeUnavailable) {
			return
		}
		row, known := server.table.read(key)
		if !known {
			ctx.Error("no such row", fasthttp.StatusNotFound)
			return
		}
		writeJSON(ctx, row)
	case "scan":
		prefix := string(arguments.Peek("prefix"))
		after, err := strconv.ParseInt(string(arguments.Peek("after")), 10, 64)
		if err != nil {
			ctx.Error("malformed revision", fasthttp.StatusBadRequest)
			return
		}
		if server.admitRead(ctx, prefix, storeUnavailable) {
			writeJSON(ctx, rowList{Rows: server.table.scan(prefix, after)})
		}
	default:
		ctx.Error("unknown operation of the table", fasthttp.StatusNotFound)
	}
}

func (server *Server) transact(ctx *fasthttp.RequestCtx) {
	var request transaction
	if !ctx.IsPost() || !decodeBody(ctx, &request) {
		return
	}
	if len(request.Conditions) > maxRowsPerWrite || len(request.Writes) > maxRowsPerWrite {
		ctx.Error("too many rows in one transaction", fasthttp.StatusRequestEntityTooLarge)
		return
	}
	keys := make([]string, 0, len(request.Writes))
	for _, write := range request.Writes {
		keys = append(keys, write.Key)
	}
	if !server.admitWrite(ctx, keys...) {
		return
	}
	revision, conflicts, err := server.table.transact(request.Conditions, request.Writes)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	if conflicts != nil {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		writeJSON(ctx, rowList{Rows: conflicts})
	} else {
		writeJSON(ctx, revisionResult{Revision: revision})
	}
	server.maybeLoseAnswer(ctx)
}

func (server *Server) handleObject(ctx *fasthttp.RequestCtx, name string) {
	key := "objects:" + prefixOf(name)
	if ctx.IsGet() {
		if !server.admitRead(ctx, key, storeUnavailable) {
			return
		}
		server.mutex.Lock()
		content, known := server.objects[name]
		server.mutex.Unlock()
		if !known {
			ctx.Error("no such object", fasthttp.StatusNotFound)
			return
		}
		ctx.SetBody(content)
		return
	}
	content, ok := readBody(ctx)
	if !ctx.IsPut() || !ok || !server.admitWrite(ctx, key) {
		return
	}
	if status, err := server.putObject(name, append([]byte(nil), content...)); err != nil {
		ctx.Error(err.Error(), status)
		return
	}
	server.maybeLoseAnswer(ctx)
}

// putObject saves an object and then makes it visible. An error comes with the status of
// the answer.
func (server *Server) putObject(name string, content []byte) (int, error) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if _, replaces := server.objects[name]; !replaces && len(server.objects) >= maxObjects {
		return fasthttp.StatusInsufficientStorage, errTooManyObjects
	}
	if err := server.state.save(objectsFolder, name, content); err != nil {
		return fasthttp.StatusServiceUnavailable, err
	}
	server.objects[name] = content
	return fasthttp.StatusOK, nil
}

func (server *Server) handleWeights(ctx *fasthttp.RequestCtx, name string) {
	if server.faults.originUnavailable.Load() {
		ctx.Error(errOriginUnavailable.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	if ctx.IsPut() {
		server.putWeights(ctx, name)
		return
	}
	content, known := server.origin.get(name)
	if !known {
		ctx.Error("no such weights", fasthttp.StatusNotFound)
		return
	}
	if byteRange := ctx.Request.Header.Peek("Range"); len(byteRange) > 0 {
		first, last, err := fasthttp.ParseByteRange(byteRange, len(content))
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusRequestedRangeNotSatisfiable)
			return
		}
		ctx.Response.Header.SetContentRange(first, last, len(content))
		ctx.SetStatusCode(fasthttp.StatusPartialContent)
		content = content[first : last+1]
	}
	server.mutex.Lock()
	serveCtx := server.serveCtx
	server.mutex.Unlock()
	ctx.SetBodyStream(&originReader{ctx: serveCtx, origin: server.origin, rest: content}, len(content))
}

func (server *Server) putWeights(ctx *fasthttp.RequestCtx, name string) {
	size := ctx.Request.Header.ContentLength()
	if size < 0 || size > maxOriginBytes {
		ctx.Error("weights need a content length within the store's limit", fasthttp.StatusRequestEntityTooLarge)
		return
	}
	content := make([]byte, size)
	if _, err := io.ReadFull(ctx.RequestBodyStream(), content); err != nil && size > 0 {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if err := server.origin.put(name, content); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInsufficientStorage)
		return
	}
	if err := server.state.save(weightsFolder, name, content); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
	}
}

func (server *Server) handleMembership(ctx *fasthttp.RequestCtx, name string) {
	if decoded, err := url.PathUnescape(name); err == nil {
		name = decoded
	}
	lag := time.Duration(server.faults.current().MembershipLagMS) * time.Millisecond
	visibleAt := time.Now().Add(lag)
	switch {
	case ctx.IsGet() && name == "":
		if server.admitRead(ctx, "membership", membershipUnavailable) {
			writeJSON(ctx, hostList{Hosts: server.membership.list(time.Now())})
		}
	case ctx.IsPut() && name != "":
		var host hosts.Host
		if !decodeBody(ctx, &host) {
			return
		}
		host.Name = name
		server.membership.addChange(memberChange{name: name, host: host, visibleAt: visibleAt})
	case ctx.IsDelete() && name != "":
		server.membership.addChange(memberChange{name: name, removed: true, visibleAt: visibleAt})
	default:
		ctx.Error("unknown operation of the membership list", fasthttp.StatusNotFound)
	}
}

func (server *Server) handleFaults(ctx *fasthttp.RequestCtx) {
	if ctx.IsPost() {
		var change FaultChange
		if !decodeBody(ctx, &change) {
			return
		}
		server.faults.apply(change)
		if change.Freeze != nil && *change.Freeze {
			server.mutex.Lock()
			connections := server.connections
			server.mutex.Unlock()
			server.faults.addFrozen(connections.freeze(ctx.Conn()))
		}
	}
	writeJSON(ctx, server.faults.current())
}

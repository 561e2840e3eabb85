// Package server is the stand-in for the platform: table, objects, weight
// origin and membership list on one HTTP address, kept in memory, with switches
// for the faults that the real services show.
//
// It speaks exactly what lib/platform's client sends. In-process fakes behind
// the interfaces were dropped, because lost answers, limited links and silent
// connections only exist where bytes really cross a socket.
package server

import (
	"context"
	"crypto/subtle"
	"encoding/json"
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
	// Settings of the stand-in. An empty token turns authentication off. A limit
	// of zero means that there is none.
	Settings struct {
		Token                string
		OriginBytesPerSecond int64
		WritesPerSecond      int
		ReadsPerSecond       int
		MembershipLag        time.Duration
		Hosts                []hosts.Host
	}

	// Server holds the state of all services. It is safe for concurrent use.
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
		running     context.Context
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

// New returns a server without any state but the settings' hosts.
func New(settings Settings) *Server {
	faults := newFaults(settings.MembershipLag.Milliseconds())
	return &Server{
		token:      settings.Token,
		table:      newTable(),
		origin:     newOrigin(settings.OriginBytesPerSecond, &faults.originOut),
		membership: newMembership(settings.Hosts),
		faults:     faults,
		counter:    newCounter(),
		reads:      newLimiter(settings.ReadsPerSecond),
		writes:     newLimiter(settings.WritesPerSecond),
		objects:    map[string][]byte{},
		running:    context.Background(),
	}
}

// PersistState makes the server continue with what an earlier one has left in the
// folder and keep its own state there. Call it before Serve.
func (server *Server) PersistState(folder string) error {
	opened, err := openState(folder, server.table, server.objects, server.origin)
	if err != nil {
		return err
	}
	server.state = opened
	server.table.commit = opened.commit
	return nil
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Serve answers on the listener until the context ends, then closes every
// connection.
func (server *Server) Serve(ctx context.Context, listener net.Listener) error {
	connections := newConnections(listener)
	server.mutex.Lock()
	server.connections = connections
	server.running = ctx
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
		reply(ctx, server.counter.snapshot(server.origin.sent.Load()))
		return
	case "/faults":
		server.handleFaults(ctx)
		return
	}
	if !server.authenticated(ctx) {
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

func (server *Server) authenticated(ctx *fasthttp.RequestCtx) bool {
	given := ctx.Request.Header.Peek("Authorization")
	return server.token == "" || subtle.ConstantTimeCompare(given, []byte("Bearer "+server.token)) == 1
}

func reply(ctx *fasthttp.RequestCtx, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encoded)
}

// body reads a request's body within the limit.
func body(ctx *fasthttp.RequestCtx) ([]byte, bool) {
	size := ctx.Request.Header.ContentLength()
	if size < 0 || size > maxBodyBytes {
		ctx.Error("body without length or too large", fasthttp.StatusRequestEntityTooLarge)
		return nil, false
	}
	return ctx.PostBody(), true
}

// decode reads a JSON body; a malformed one is refused.
func decode(ctx *fasthttp.RequestCtx, value any) bool {
	encoded, ok := body(ctx)
	if !ok {
		return false
	}
	if err := json.Unmarshal(encoded, value); err != nil {
		ctx.Error(fmt.Sprintf("malformed body: %v", err), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// admitRead applies delay, outage and limit to a read of table or objects.
func (server *Server) admitRead(ctx *fasthttp.RequestCtx, key string, out func(FaultState) bool) bool {
	if out(server.faults.delayed()) {
		ctx.Error("outage", fasthttp.StatusServiceUnavailable)
		return false
	}
	if !server.reads.Allow() {
		server.counter.add(func(total *Counters) *int64 { return &total.RefusedReads })
		ctx.Error("too many reads", fasthttp.StatusTooManyRequests)
		return false
	}
	server.counter.read(key)
	return true
}

// admitWrite applies delay, outage and limit to a write.
func (server *Server) admitWrite(ctx *fasthttp.RequestCtx, keys ...string) bool {
	if server.faults.delayed().Outage {
		ctx.Error("outage", fasthttp.StatusServiceUnavailable)
		return false
	}
	if !server.writes.Allow() {
		server.counter.add(func(total *Counters) *int64 { return &total.RefusedWrites })
		ctx.Error("too many writes", fasthttp.StatusTooManyRequests)
		return false
	}
	server.counter.write(keys...)
	return true
}

// maybeLoseAnswer closes the connection without an answer for the configured
// share of writes.
func (server *Server) maybeLoseAnswer(ctx *fasthttp.RequestCtx) {
	if !server.faults.loses() {
		return
	}
	server.counter.add(func(total *Counters) *int64 { return &total.LostAnswers })
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) { _ = conn.Close() })
}

func storeOut(state FaultState) bool { return state.Outage }

func membershipOut(state FaultState) bool { return state.MembershipOutage }

func (server *Server) handleTable(ctx *fasthttp.RequestCtx, operation string) {
	arguments := ctx.QueryArgs()
	switch operation {
	case "transact":
		server.transact(ctx)
	case "row":
		key := string(arguments.Peek("key"))
		if !server.admitRead(ctx, key, storeOut) {
			return
		}
		row, known := server.table.read(key)
		if !known {
			ctx.Error("no such row", fasthttp.StatusNotFound)
			return
		}
		reply(ctx, row)
	case "scan":
		prefix := string(arguments.Peek("prefix"))
		after, err := strconv.ParseInt(string(arguments.Peek("after")), 10, 64)
		if err != nil {
			ctx.Error("malformed revision", fasthttp.StatusBadRequest)
			return
		}
		if server.admitRead(ctx, prefix, storeOut) {
			reply(ctx, rowList{Rows: server.table.scan(prefix, after)})
		}
	default:
		ctx.Error("unknown operation of the table", fasthttp.StatusNotFound)
	}
}

func (server *Server) transact(ctx *fasthttp.RequestCtx) {
	var wanted transaction
	if !ctx.IsPost() || !decode(ctx, &wanted) {
		return
	}
	if len(wanted.Conditions) > maxRowsPerWrite || len(wanted.Writes) > maxRowsPerWrite {
		ctx.Error("too many rows in one transaction", fasthttp.StatusRequestEntityTooLarge)
		return
	}
	keys := make([]string, 0, len(wanted.Writes))
	for _, write := range wanted.Writes {
		keys = append(keys, write.Key)
	}
	if !server.admitWrite(ctx, keys...) {
		return
	}
	revision, conflicts, err := server.table.transact(wanted.Conditions, wanted.Writes)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	if conflicts != nil {
		ctx.SetStatusCode(fasthttp.StatusConflict)
		reply(ctx, rowList{Rows: conflicts})
	} else {
		reply(ctx, revisionResult{Revision: revision})
	}
	server.maybeLoseAnswer(ctx)
}

func (server *Server) handleObject(ctx *fasthttp.RequestCtx, name string) {
	key := "objects:" + prefixOf(name)
	if ctx.IsGet() {
		if !server.admitRead(ctx, key, storeOut) {
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
	content, ok := body(ctx)
	if !ctx.IsPut() || !ok || !server.admitWrite(ctx, key) {
		return
	}
	server.mutex.Lock()
	full := len(server.objects) >= maxObjects
	if !full {
		server.objects[name] = append([]byte(nil), content...)
	}
	server.mutex.Unlock()
	if full {
		ctx.Error("too many objects", fasthttp.StatusInsufficientStorage)
		return
	}
	if err := server.state.save(objectsFolder, name, content); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	server.maybeLoseAnswer(ctx)
}

func (server *Server) handleWeights(ctx *fasthttp.RequestCtx, name string) {
	if server.faults.originOut.Load() {
		ctx.Error(errOriginOut.Error(), fasthttp.StatusServiceUnavailable)
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
	if asked := ctx.Request.Header.Peek("Range"); len(asked) > 0 {
		first, last, err := fasthttp.ParseByteRange(asked, len(content))
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusRequestedRangeNotSatisfiable)
			return
		}
		ctx.Response.Header.SetContentRange(first, last, len(content))
		ctx.SetStatusCode(fasthttp.StatusPartialContent)
		content = content[first : last+1]
	}
	server.mutex.Lock()
	running := server.running
	server.mutex.Unlock()
	ctx.SetBodyStream(&originReader{ctx: running, origin: server.origin, rest: content}, len(content))
}

func (server *Server) putWeights(ctx *fasthttp.RequestCtx, name string) {
	size := ctx.Request.Header.ContentLength()
	if size < 0 || size > maxOriginBytes {
		ctx.Error("weights need a content length within the store's bound", fasthttp.StatusRequestEntityTooLarge)
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
		if server.admitRead(ctx, "membership", membershipOut) {
			reply(ctx, hostList{Hosts: server.membership.list(time.Now())})
		}
	case ctx.IsPut() && name != "":
		var host hosts.Host
		if !decode(ctx, &host) {
			return
		}
		host.Name = name
		server.membership.change(memberChange{name: name, host: host, visibleAt: visibleAt})
	case ctx.IsDelete() && name != "":
		server.membership.change(memberChange{name: name, removed: true, visibleAt: visibleAt})
	default:
		ctx.Error("unknown operation of the membership list", fasthttp.StatusNotFound)
	}
}

func (server *Server) handleFaults(ctx *fasthttp.RequestCtx) {
	if ctx.IsPost() {
		var change FaultChange
		if !decode(ctx, &change) {
			return
		}
		server.faults.apply(change)
		if change.Freeze != nil && *change.Freeze {
			server.mutex.Lock()
			connections := server.connections
			server.mutex.Unlock()
			server.faults.froze(connections.freeze(ctx.Conn()))
		}
	}
	reply(ctx, server.faults.current())
}

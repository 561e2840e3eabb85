package gateways

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"firford/lib/placements"
	"firford/lib/routes"
)

// dialect is a platform of the tests, with names of its own.
type dialect struct{}

func (dialect) ParseRequest(header http.Header, now time.Time) RequestInfo {
	call := RequestInfo{ID: header.Get("Id"), APIKey: header.Get("Key"), Model: header.Get("Model"), LastEventID: header.Get("After")}
	if left, err := strconv.Atoi(header.Get("Left")); err == nil {
		call.Timeout = time.Duration(left) * time.Millisecond
		call.Deadline = now.Add(call.Timeout)
	}
	return call
}

func (dialect) RewriteRequest(header http.Header, sent ForwardInfo, now time.Time) {
	header.Del("Key")
	header.Set("Server", sent.ServerID)
	header.Set("Left", strconv.FormatInt(sent.Deadline.Sub(now).Milliseconds(), 10))
	if sent.LastEventID != "" {
		header.Set("After", sent.LastEventID)
	}
}

func (dialect) ParseResponse(_ int, header http.Header, _ time.Time) ResponseInfo {
	return ResponseInfo{ID: header.Get("Id"), NotRun: header.Get("Not-Run") != "", Signed: header.Get("Signed") != ""}
}

// script answers one request on a connection by writing raw bytes. It returns
// false to close the connection.
type script func(conn net.Conn, received *http.Request) bool

// server is a backend server whose answers are scripted, the last one again and
// again. It keeps the requests that it got.
type server struct {
	address string
	mutex   sync.Mutex
	scripts []script
	got     []*http.Request
	closed  chan struct{}
}

func newServer(t *testing.T, scripts ...script) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	server := &server{address: listener.Addr().String(), scripts: scripts, closed: make(chan struct{}, 16)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.serve(conn)
		}
	}()
	return server
}

func (server *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		received, err := http.ReadRequest(reader)
		if err != nil {
			server.closed <- struct{}{}
			return
		}
		_, _ = io.Copy(io.Discard, received.Body)
		if !server.next(received)(conn, received) {
			return
		}
	}
}

func (server *server) next(received *http.Request) script {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.got = append(server.got, received)
	answer := server.scripts[0]
	if len(server.scripts) > 1 {
		server.scripts = server.scripts[1:]
	}
	return answer
}

func (server *server) requests() []*http.Request {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return append([]*http.Request{}, server.got...)
}

// answer writes a whole answer with the id of the request.
func answer(status int, header, body string) script {
	return func(conn net.Conn, received *http.Request) bool {
		writeAnswer(conn, status, received.Header.Get("Id"), header, body)
		return true
	}
}

func writeAnswer(conn net.Conn, status int, id, header, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, header, len(body), body)
}

// stream writes events from the one after the caller's last, up to and without
// the end, and then breaks off or ends as told.
func stream(end int, whole bool) script {
	return func(conn net.Conn, received *http.Request) bool {
		first, _ := strconv.Atoi(received.Header.Get("After"))
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: yes\r\nTransfer-Encoding: chunked\r\n\r\n", received.Header.Get("Id"))
		for i := first + 1; i < end; i++ {
			writeChunk(conn, event(i))
		}
		if whole {
			fmt.Fprint(conn, "0\r\n\r\n")
			return true
		}
		writeChunk(conn, event(end)[:4])
		return false
	}
}

func event(number int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", number, number) }

func writeChunk(conn net.Conn, text string) { fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text) }

func hang(net.Conn, *http.Request) bool {
	time.Sleep(5 * time.Second)
	return false
}

func breakOff(net.Conn, *http.Request) bool { return false }

// front is a gateway of the tests before its servers.
type front struct {
	address string
	gateway *Gateway
	desk    *AdmissionQueue
}

func configuration() routes.Configuration {
	share := []routes.Share{{Service: "desk", Weight: 1}}
	route := func(name string, repeat routes.RetryMode, attempts int) routes.Route {
		return routes.Route{
			Name: name, Host: "desk.example", Prefix: "/" + name + "/", RetryMode: repeat, Resumable: true, MaxAttempts: attempts,
			Timeout: 2 * time.Second, Target: 200 * time.Millisecond, EventGap: 100 * time.Millisecond, Shares: share,
		}
	}
	return routes.Configuration{
		Version:  1,
		Routes:   []routes.Route{route("once", routes.AtMostOnce, 1), route("again", routes.Idempotent, 2), route("events", routes.Stream, 2)},
		Services: []routes.Service{{Name: "desk"}},
		Keys:     map[string]routes.Organisation{"key": {Name: "buyers"}},
		Limits:   routes.Limits{BodyBytes: 1000},
	}
}

func newFront(t *testing.T, slots int, servers ...*server) *front {
	fleet := placements.NewFleet("nairobi")
	var list []placements.Server
	for i, server := range servers {
		list = append(list, placements.Server{ID: strconv.Itoa(i), Service: "desk", Address: server.address, DataCentre: "nairobi", Slots: slots * 4})
	}
	fleet.UpdateServers(list, time.Time{}, time.Now())
	desk := NewAdmissionQueue(fleet, func(RequestNotice) {})
	table := routes.New(configuration())
	gateway := New(Dependencies{
		Dialect: dialect{}, Queue: desk, Table: func() routes.Table { return table },
		MinVersion:      func(string, time.Time) int { return 0 },
		VersionDeadline: func(string, int) (time.Time, bool) { return time.Time{}, false },
		Logger:          zap.NewNop(), Scope: tally.NoopScope,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = gateway.Serve(listener) }()
	t.Cleanup(func() { _ = gateway.Shutdown(context.Background()) })
	return &front{address: listener.Addr().String(), gateway: gateway, desk: desk}
}

// ask sends a request and returns the status, the headers and the body. The
// error is that of the body, if it did not end properly.
func (front *front) ask(t *testing.T, path, body string, header ...string) (int, http.Header, string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+front.address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "desk.example"
	request.Header.Set("Id", "r-1")
	request.Header.Set("Key", "key")
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(text), err
}

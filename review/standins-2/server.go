package main

// This file stands in for a backend server. It echoes the ids of requests, answers 421 for
// another instance, signs what it ran, and records each run.

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// eventInterval is the pause between two events of a stream.
const eventInterval = 50 * time.Millisecond

type (
	// run is one run of a request at a server.
	run struct {
		id, server string
		at         time.Time
		bytes      int
	}

	// runs records the runs of all servers.
	runs struct {
		mutex sync.Mutex
		list  []run
	}

	server struct {
		id, service, address, zone string
		slots                      int
		work                       time.Duration
		// events is the number of events of an answer, zero for an answer without a stream.
		events    int
		runs      *runs
		mutex     sync.Mutex
		active    int
		isLeaving bool
	}
)

func (runs *runs) add(next run) {
	runs.mutex.Lock()
	defer runs.mutex.Unlock()
	runs.list = append(runs.list, next)
}

func (runs *runs) all() []run {
	runs.mutex.Lock()
	defer runs.mutex.Unlock()
	return append([]run{}, runs.list...)
}

func newServer(listener net.Listener, id, service, zone string, slots int, runs *runs) *server {
	server := &server{id: id, service: service, address: listener.Addr().String(), zone: zone, slots: slots, runs: runs}
	go func() { _ = http.Serve(listener, server) }()
	return server
}

// row returns the entry of the server in the platform's list.
func (server *server) row(state string, warmupLeft time.Duration) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"warmupLeftMs":%d,"sequence":1}`,
		server.service, server.address, server.zone, server.slots, state, warmupLeft.Milliseconds())
}

func (server *server) setLeaving() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.isLeaving = true
}

// begin takes a slot or one of as many places to wait.
func (server *server) begin() (isAdmitted, isLeaving bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.active >= 2*server.slots {
		return false, server.isLeaving
	}
	server.active++
	return true, server.isLeaving
}

func (server *server) end() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.active--
}

// ServeHTTP implements http.Handler.
func (server *server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	arrivedAt := time.Now()
	id := request.Header.Get("X-Request-Id")
	if expected := request.Header.Get("X-Expected-Instance"); expected != "" && expected != server.id {
		writer.Header().Set("X-Request-Id", id)
		writer.Header().Set("X-Instance-Id", server.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	count, err := io.Copy(io.Discard, request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("X-Request-Id", id)
	isAdmitted, isLeaving := server.begin()
	if isLeaving {
		writer.Header().Set("Server-Leaving", "1")
	}
	if !isAdmitted {
		writer.Header().Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer server.end()
	server.runs.add(run{id: id, server: server.id, at: arrivedAt, bytes: int(count)})
	time.Sleep(server.work)
	writer.Header().Set("X-Response-Signature", "signed-"+id)
	if server.events == 0 {
		_, _ = io.WriteString(writer, "answer to "+id)
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	for number := range server.events {
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: event %d of %s\n\n", number+1, number+1, id)
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(eventInterval)
	}
}

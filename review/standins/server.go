package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

type (
	// execution is one run of a request.
	execution struct {
		ID, Tenant string
		At         time.Time
		Bytes      int
	}

	// server is a sound plain server of the service desk, or a sound engine that serves its
	// model in version 1 and gets no requests.
	server struct {
		service     string
		id, address string
		dataCentre  string
		slots       int
		work        time.Duration

		mutex      sync.Mutex
		running    int
		executions []execution
	}
)

// startServer starts a server and registers it in the store.
func (bed *testbed) startServer(machine, slots int, work time.Duration) (*server, error) {
	return bed.startServerIn(dataCentre, machine, slots, work)
}

// startServerIn starts a server in the data centre and registers it in the store.
func (bed *testbed) startServerIn(dataCentre string, machine, slots int, work time.Duration) (*server, error) {
	listener, err := net.Listen("tcp", bed.block+fmt.Sprint(machine)+":0")
	if err != nil {
		return nil, err
	}
	started := &server{service: "desk", dataCentre: dataCentre, id: fmt.Sprintf("i-%d", machine), address: listener.Addr().String(), slots: slots, work: work}
	go func() { _ = http.Serve(listener, started) }()
	bed.register(started)
	return started, nil
}

// register writes the entry of the server into the store, as its heartbeat does.
func (bed *testbed) register(registered *server) {
	bed.store.put("servers", registered.id, map[string]any{
		"service": registered.service, "models": registered.models(), "address": registered.address, "zone": registered.dataCentre, "version": "v1",
		"slots": registered.slots, "state": "ready", "warmupLeftMs": 0, "sequence": 1,
	})
}

// startEngine starts an engine in the data centre and registers it in the store.
func (bed *testbed) startEngine(dataCentre string, machine int) (*server, error) {
	listener, err := net.Listen("tcp", bed.block+fmt.Sprint(machine)+":0")
	if err != nil {
		return nil, err
	}
	started := &server{service: "pool", dataCentre: dataCentre, id: fmt.Sprintf("i-%d", machine), address: listener.Addr().String(), slots: 12}
	go func() { _ = http.Serve(listener, started) }()
	bed.register(started)
	return started, nil
}

func (server *server) models() []map[string]any {
	if server.service != "pool" {
		return nil
	}
	return []map[string]any{{"name": "m0", "version": 1, "adapters": []string{}}}
}

// ServeHTTP implements http.Handler.
func (server *server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/-/report" {
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(map[string]any{
			"stage": "both", "models": server.models(), "busy": false, "sequence": 0, "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 90000, "handles": 0,
		})
		return
	}
	if strings.HasPrefix(request.URL.Path, "/-/") {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	if request.URL.Path == "/healthz" {
		writer.Header().Set("X-Instance-Id", server.id)
		return
	}
	id := request.Header.Get("X-Request-Id")
	writer.Header().Set("X-Request-Id", id)
	if expected := request.Header.Get("X-Expected-Instance"); expected != "" && expected != server.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if !server.begin(execution{ID: id, Tenant: request.Header.Get("X-Tenant"), At: time.Now(), Bytes: len(body)}) {
		writer.Header().Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(server.work)
	server.mutex.Lock()
	server.running--
	server.mutex.Unlock()
	writer.Header().Set("X-Response-Signature", "signed-"+id)
	_, _ = io.WriteString(writer, "answer to "+id)
}

// begin records that the request runs, unless all slots are taken.
func (server *server) begin(begun execution) bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.running >= server.slots {
		return false
	}
	server.running++
	server.executions = append(server.executions, begun)
	return true
}

// runs returns how often the request has run, and the tenant of its last run.
func (server *server) runs(id string) (count int, tenant string) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for _, each := range server.executions {
		if each.ID == id {
			count, tenant = count+1, each.Tenant
		}
	}
	return count, tenant
}

package main

// A model engine beside an agent. It follows the pages: it answers streams of events, which
// it signs, turns a request away that is meant for another engine or that comes while it
// loads, keeps staged pieces without a check, and loads what is staged when it takes an order.

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	modelName   = "m0"
	serviceName = "pool"
	streamParts = 8
	partPause   = 20 * time.Millisecond
	slots       = 16
	loadTime    = 300 * time.Millisecond
)

type engine struct {
	id, address, zone string
	record            *record
	born              int64

	mutex    sync.Mutex
	stage    map[int][]byte
	version  int
	sequence int
	isBusy   bool
	active   int
	// cut is closed when running requests are cut off by an order.
	cut chan struct{}
	// run counts the requests that ran, by version.
	run map[int]int
	// spoilt counts the orders that loaded a piece that was not that of the version.
	spoilt int
	// onChange is called after the version has changed.
	onChange func()
}

func startEngine(id, address, zone string, written *record) (*engine, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	served := &engine{
		id: id, address: address, zone: zone, record: written, born: time.Now().UnixMilli(),
		stage: map[int][]byte{}, version: 1, cut: make(chan struct{}), run: map[int]int{}, onChange: func() {},
	}
	for piece := range pieces {
		served.stage[piece] = pieceOf(1, piece)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", served.handleReport)
	mux.HandleFunc("GET /-/stage-get/{model}", served.handleStageGet)
	mux.HandleFunc("PUT /-/stage-put/{model}", served.handleStagePut)
	mux.HandleFunc("POST /-/order", served.handleOrder)
	mux.HandleFunc("/", served.handleRequest)
	go func() { _ = http.Serve(listener, mux) }()
	return served, nil
}

// entry returns the row that the engine writes into the list of servers.
func (served *engine) entry() map[string]any {
	served.mutex.Lock()
	defer served.mutex.Unlock()
	return map[string]any{
		"service": serviceName, "address": served.address, "zone": served.zone, "version": "v1", "slots": slots,
		"state": "ready", "warmupLeftMs": 0, "stage": "both", "models": served.models(), "sequence": served.sequence, "born": served.born,
	}
}

// models returns the versions that the engine serves. The caller holds the mutex.
func (served *engine) models() []map[string]any {
	if served.version == 0 {
		return []map[string]any{}
	}
	return []map[string]any{{"name": modelName, "version": served.version, "adapters": []string{}}}
}

func (served *engine) handleReport(writer http.ResponseWriter, _ *http.Request) {
	served.mutex.Lock()
	defer served.mutex.Unlock()
	writeJSON(writer, http.StatusOK, map[string]any{
		"stage": "both", "models": served.models(), "busy": served.isBusy, "sequence": served.sequence, "queued": 0, "active": served.active,
		"kvUsed": 0, "kvTotal": 317000, "handles": 0, "born": served.born,
	})
}

func (served *engine) handleStageGet(writer http.ResponseWriter, received *http.Request) {
	piece, err := strconv.Atoi(received.URL.Query().Get("sampleCount"))
	served.mutex.Lock()
	body, found := served.stage[piece]
	served.mutex.Unlock()
	if err != nil || !found {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = writer.Write(body)
}

func (served *engine) handleStagePut(writer http.ResponseWriter, received *http.Request) {
	piece, err := strconv.Atoi(received.URL.Query().Get("sampleCount"))
	body, readErr := io.ReadAll(received.Body)
	if err != nil || readErr != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	served.mutex.Lock()
	served.stage[piece] = body
	served.mutex.Unlock()
}

func (served *engine) handleOrder(writer http.ResponseWriter, received *http.Request) {
	var order struct {
		Operation string `json:"operation"`
		Version   int    `json:"version"`
		Mode      string `json:"startMode"`
		Expected  *int   `json:"expectedRevision"`
	}
	if err := json.NewDecoder(received.Body).Decode(&order); err != nil || order.Operation != "start" {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	served.mutex.Lock()
	defer served.mutex.Unlock()
	if served.isBusy || order.Expected != nil && *order.Expected != served.sequence {
		writer.WriteHeader(http.StatusConflict)
		return
	}
	isWhole := true
	for piece := range pieces {
		isWhole = isWhole && string(served.stage[piece]) == string(pieceOf(order.Version, piece))
	}
	if !isWhole {
		served.spoilt++
	}
	served.sequence++
	served.isBusy, served.version = true, 0
	if order.Mode == "cut" {
		close(served.cut)
		served.cut = make(chan struct{})
	}
	served.record.line("engine %s takes the order to start version %d (mode %s), all pieces right: %t", served.id, order.Version, order.Mode, isWhole)
	time.AfterFunc(loadTime, func() {
		served.mutex.Lock()
		served.isBusy, served.version = false, order.Version
		served.mutex.Unlock()
		served.record.line("engine %s serves version %d", served.id, order.Version)
		served.onChange()
	})
	go served.onChange()
	writer.WriteHeader(http.StatusAccepted)
}

func (served *engine) handleRequest(writer http.ResponseWriter, received *http.Request) {
	id := received.Header.Get("X-Request-Id")
	writer.Header().Set("X-Request-Id", id)
	if _, err := io.ReadAll(received.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if expected := received.Header.Get("X-Expected-Instance"); expected != "" && expected != served.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	served.mutex.Lock()
	version, cut := served.version, served.cut
	if version == 0 || served.active >= slots {
		served.mutex.Unlock()
		writer.Header().Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	served.active++
	served.run[version]++
	served.mutex.Unlock()
	defer func() { served.mutex.Lock(); served.active--; served.mutex.Unlock() }()
	served.record.line("engine %s runs %s on version %d", served.id, id, version)
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("X-Response-Signature", "signed-"+id)
	writer.Header().Set("X-Weight-Versions", strconv.Itoa(version))
	last, _ := strconv.Atoi(received.Header.Get("Last-Event-Id"))
	for number := last + 1; number <= streamParts; number++ {
		select {
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-received.Context().Done():
			return
		case <-time.After(partPause):
		}
		fmt.Fprintf(writer, "id: %d\ndata: %s/%d\n\n", number, id, number)
		_ = http.NewResponseController(writer).Flush()
	}
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

package main

// This file stands in for the platform's store: tables of rows, reads of ranges and the
// feed of changes. The operator and the servers write through put and remove.

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

type (
	row struct {
		Table   string `json:"table"`
		Part    string `json:"part"`
		Key     string `json:"key"`
		Value   []byte `json:"value,omitempty"`
		Version int64  `json:"ver"`
		Deleted bool   `json:"deleted,omitempty"`
	}

	store struct {
		address string
		began   time.Time
		mutex   sync.Mutex
		history []row
		version int64
		changed chan struct{}
	}
)

func newStore(listener net.Listener) *store {
	store := &store{address: listener.Addr().String(), began: time.Now(), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", store.serveGet)
	mux.HandleFunc("GET /-/rows-feed", store.serveFeed)
	mux.HandleFunc("POST /-/rows-tx", store.serveTransaction)
	go func() { _ = http.Serve(listener, mux) }()
	return store
}

// put writes a row and returns its version. The return is the acknowledgement.
func (store *store) put(table, key, value string) int64 {
	return store.write(row{Table: table, Key: key, Value: []byte(value)})
}

func (store *store) remove(table, key string) int64 {
	return store.write(row{Table: table, Key: key, Deleted: true})
}

func (store *store) write(next row) int64 {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.version++
	next.Version = store.version
	store.history = append(store.history, next)
	close(store.changed)
	store.changed = make(chan struct{})
	return next.Version
}

// current returns the rows of a table in the part without a name, by key. The caller holds
// the mutex.
func (store *store) current(table string) []row {
	newest := map[string]row{}
	for _, each := range store.history {
		if each.Table == table && each.Part == "" {
			newest[each.Key] = each
		}
	}
	rows := []row{}
	for _, each := range newest {
		if !each.Deleted {
			rows = append(rows, each)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}

func (store *store) serveGet(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	store.mutex.Lock()
	rows, version := store.current(query.Get("table")), store.version
	store.mutex.Unlock()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil {
		limit = 500
	}
	page, hasMore := []row{}, false
	for _, each := range rows {
		if each.Key < query.Get("from") || query.Get("to") != "" && each.Key >= query.Get("to") {
			continue
		}
		if len(page) == limit {
			hasMore = true
			break
		}
		page = append(page, each)
	}
	store.answer(writer, map[string]any{"rows": page, "hasMore": hasMore, "ver": version})
}

func (store *store) serveFeed(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	since, _ := strconv.ParseInt(query.Get("sinceRevision"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		store.mutex.Lock()
		changes, version, changed := []row{}, store.version, store.changed
		for _, each := range store.history {
			if each.Table == query.Get("table") && each.Version > since {
				changes = append(changes, each)
			}
		}
		store.mutex.Unlock()
		isOver := false
		if len(changes) == 0 {
			select {
			case <-changed:
				continue
			case <-request.Context().Done():
				return
			case <-timeout:
				isOver = true
			}
		}
		if isOver || len(changes) > 0 {
			store.answer(writer, map[string]any{"rows": changes, "ver": version})
			return
		}
	}
}

// serveTransaction applies a transaction of the system, which may not write to the tables
// of the operator and of the servers.
func (store *store) serveTransaction(writer http.ResponseWriter, request *http.Request) {
	var transaction struct {
		Expected []row `json:"expectedRevision"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(request.Body).Decode(&transaction); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, each := range append(transaction.Puts, transaction.Remove...) {
		if each.Table == "op" || each.Table == "servers" {
			writer.WriteHeader(http.StatusForbidden)
			return
		}
	}
	store.mutex.Lock()
	isMet := true
	for _, expected := range transaction.Expected {
		version := int64(0)
		for _, each := range store.current(expected.Table) {
			if each.Key == expected.Key {
				version = each.Version
			}
		}
		isMet = isMet && version == expected.Version
	}
	store.mutex.Unlock()
	if !isMet {
		writer.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	for _, each := range transaction.Puts {
		store.write(row{Table: each.Table, Part: each.Part, Key: each.Key, Value: each.Value})
	}
	for _, each := range transaction.Remove {
		store.write(row{Table: each.Table, Part: each.Part, Key: each.Key, Deleted: true})
	}
	store.answer(writer, map[string]any{"ver": store.version})
}

func (store *store) answer(writer http.ResponseWriter, body map[string]any) {
	body["nowMs"] = time.Since(store.began).Milliseconds()
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Store-Era", "0")
	_ = json.NewEncoder(writer).Encode(body)
}

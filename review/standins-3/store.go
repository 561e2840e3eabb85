package main

// The platform's metadata store: rows in tables, long polls for their changes, and
// transactions. It keeps all of its history and fails no call unless it is away.

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
		Value   []byte `json:"value"`
		Version int64  `json:"ver"`
		Deleted bool   `json:"deleted,omitempty"`
	}

	store struct {
		mutex   sync.Mutex
		version int64
		history []row
		changed chan struct{}
		began   time.Time
		// isAway is set while the store turns away all calls.
		isAway bool
	}

	transaction struct {
		Expected []row `json:"expectedRevision"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
)

// startStore serves a store at the address.
func startStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	served := &store{changed: make(chan struct{}), began: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", served.handleGet)
	mux.HandleFunc("GET /-/rows-feed", served.handleFeed)
	mux.HandleFunc("POST /-/rows-tx", served.handleTransaction)
	go func() { _ = http.Serve(listener, served.unlessAway(mux)) }()
	return served, nil
}

// unlessAway answers 503 while the store is away, which says that nothing was done.
func (served *store) unlessAway(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, received *http.Request) {
		served.mutex.Lock()
		isAway := served.isAway
		served.mutex.Unlock()
		if isAway {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(writer, received)
	})
}

// setAway begins or ends an outage, and ends the polls that wait.
func (served *store) setAway(isAway bool) {
	served.mutex.Lock()
	defer served.mutex.Unlock()
	served.isAway = isAway
	close(served.changed)
	served.changed = make(chan struct{})
}

// put writes a row as the operator or a server does. It returns when the write is
// acknowledged.
func (served *store) put(table, key string, value any) time.Time {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	served.mutex.Lock()
	defer served.mutex.Unlock()
	served.write(row{Table: table, Key: key, Value: encoded})
	return time.Now()
}

// write appends a row to the history. The caller holds the mutex.
func (served *store) write(next row) {
	served.version++
	next.Version = served.version
	served.history = append(served.history, next)
	close(served.changed)
	served.changed = make(chan struct{})
}

// current returns the present rows of a part of a table by key. The caller holds the mutex.
func (served *store) current(table, part string) map[string]row {
	rows := map[string]row{}
	for _, each := range served.history {
		if each.Table != table || each.Part != part {
			continue
		}
		rows[each.Key] = each
		if each.Deleted {
			delete(rows, each.Key)
		}
	}
	return rows
}

// value returns the value of a row of the part without a name, or nil.
func (served *store) value(table, key string) []byte {
	served.mutex.Lock()
	defer served.mutex.Unlock()
	return served.current(table, "")[key].Value
}

func (served *store) answer(writer http.ResponseWriter, status int, more map[string]any) {
	more["ver"], more["nowMs"] = served.version, time.Since(served.began).Milliseconds()
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(more)
}

func (served *store) handleGet(writer http.ResponseWriter, received *http.Request) {
	query := received.URL.Query()
	served.mutex.Lock()
	defer served.mutex.Unlock()
	rows := []row{}
	for key, each := range served.current(query.Get("table"), query.Get("part")) {
		if key >= query.Get("from") && (query.Get("to") == "" || key < query.Get("to")) {
			rows = append(rows, each)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	limit, err := strconv.Atoi(query.Get("limit"))
	hasMore := err == nil && limit > 0 && len(rows) > limit
	if hasMore {
		rows = rows[:limit]
	}
	served.answer(writer, http.StatusOK, map[string]any{"rows": rows, "hasMore": hasMore})
}

func (served *store) handleFeed(writer http.ResponseWriter, received *http.Request) {
	query := received.URL.Query()
	since, _ := strconv.ParseInt(query.Get("sinceRevision"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		served.mutex.Lock()
		if served.isAway {
			served.mutex.Unlock()
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		rows := []row{}
		for _, each := range served.history {
			if each.Table == query.Get("table") && each.Version > since {
				rows = append(rows, each)
			}
		}
		if len(rows) > 0 {
			served.answer(writer, http.StatusOK, map[string]any{"rows": rows})
			served.mutex.Unlock()
			return
		}
		changed := served.changed
		served.mutex.Unlock()
		select {
		case <-changed:
			continue
		case <-timeout:
		case <-received.Context().Done():
			return
		}
		served.mutex.Lock()
		served.answer(writer, http.StatusOK, map[string]any{"rows": rows})
		served.mutex.Unlock()
		return
	}
}

func (served *store) handleTransaction(writer http.ResponseWriter, received *http.Request) {
	var requested transaction
	if err := json.NewDecoder(received.Body).Decode(&requested); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	served.mutex.Lock()
	defer served.mutex.Unlock()
	present, isMet := []row{}, true
	for _, expected := range requested.Expected {
		known, found := served.current(expected.Table, expected.Part)[expected.Key]
		if found {
			present = append(present, known)
		}
		isMet = isMet && known.Version == expected.Version
	}
	if !isMet {
		served.answer(writer, http.StatusPreconditionFailed, map[string]any{"rows": present})
		return
	}
	for _, each := range requested.Puts {
		served.write(each)
	}
	for _, each := range requested.Remove {
		each.Deleted = true
		served.write(each)
	}
	served.answer(writer, http.StatusOK, map[string]any{})
}

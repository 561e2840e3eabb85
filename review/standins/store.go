package main

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
	// row is a row of the store.
	row struct {
		Table   string `json:"table"`
		Part    string `json:"part"`
		Key     string `json:"key"`
		Value   []byte `json:"value,omitempty"`
		Version int64  `json:"ver"`
		Deleted bool   `json:"deleted,omitempty"`
	}

	// store is a sound stand-in of the platform's store without faults. Only rows with an
	// empty part are kept.
	store struct {
		address string
		started time.Time
		mutex   sync.Mutex
		history []row
		version int64
		changed chan struct{}
		// era counts how often the store came back from an older copy, and awayUntil is until
		// when it turns all calls away.
		era       int64
		awayUntil time.Time
	}
)

// startStore serves the store at a free port of the address until the process ends.
func startStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	served := &store{address: listener.Addr().String(), started: time.Now(), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", served.handleGet)
	mux.HandleFunc("GET /-/rows-feed", served.handleFeed)
	mux.HandleFunc("GET /-/rows-parts", served.handleParts)
	mux.HandleFunc("POST /-/rows-tx", served.handleTransaction)
	go func() { _ = http.Serve(listener, served.withEra(mux)) }()
	return served, nil
}

// put writes a row and returns when the store acknowledged it.
func (store *store) put(table, key string, value any) time.Time {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.write(row{Table: table, Key: key, Value: encoded})
	return time.Now()
}

// withEra states the era in each answer, and turns calls away while the store is away.
func (store *store) withEra(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		store.mutex.Lock()
		era, isAway := store.era, time.Now().Before(store.awayUntil)
		store.mutex.Unlock()
		writer.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		if isAway {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(writer, request)
	})
}

// newest returns the newest version.
func (store *store) newest() int64 {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.version
}

// restore takes the store back to the copy at the version. It is away for the duration
// before that, and its open polls end.
func (store *store) restore(version int64, away time.Duration) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	kept := []row{}
	for _, each := range store.history {
		if each.Version <= version {
			kept = append(kept, each)
		}
	}
	store.history, store.version = kept, version
	store.era++
	store.awayUntil = time.Now().Add(away)
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *store) write(written row) {
	store.version++
	written.Version = store.version
	store.history = append(store.history, written)
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *store) rows(table string) []row {
	newest := map[string]row{}
	for _, each := range store.history {
		if each.Table == table {
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

func (store *store) answer(writer http.ResponseWriter, status int, body map[string]any) {
	body["nowMs"] = time.Since(store.started).Milliseconds()
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func (store *store) handleGet(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	store.mutex.Lock()
	rows, version := store.rows(query.Get("table")), store.version
	store.mutex.Unlock()
	limit, _ := strconv.Atoi(query.Get("limit"))
	page, more := []row{}, false
	for _, each := range rows {
		if query.Get("part") != "" || each.Key < query.Get("from") || query.Get("to") != "" && each.Key >= query.Get("to") {
			continue
		}
		if limit > 0 && len(page) == limit {
			more = true
			break
		}
		page = append(page, each)
	}
	store.answer(writer, http.StatusOK, map[string]any{"rows": page, "hasMore": more, "ver": version})
}

func (store *store) handleFeed(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	since, _ := strconv.ParseInt(query.Get("sinceRevision"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	store.mutex.Lock()
	begunIn := store.era
	store.mutex.Unlock()
	for {
		store.mutex.Lock()
		if store.era != begunIn {
			store.mutex.Unlock()
			panic(http.ErrAbortHandler)
		}
		changes := []row{}
		for _, each := range store.history {
			if each.Table == query.Get("table") && each.Version > since {
				changes = append(changes, each)
			}
		}
		version, changed := store.version, store.changed
		store.mutex.Unlock()
		if since > version {
			store.answer(writer, http.StatusGone, map[string]any{"ver": version})
			return
		}
		if len(changes) > 0 {
			store.answer(writer, http.StatusOK, map[string]any{"rows": changes, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		case <-timeout:
			store.answer(writer, http.StatusOK, map[string]any{"rows": changes, "ver": version})
			return
		}
	}
}

func (store *store) handleParts(writer http.ResponseWriter, _ *http.Request) {
	store.answer(writer, http.StatusOK, map[string]any{"parts": []string{""}})
}

func (store *store) handleTransaction(writer http.ResponseWriter, request *http.Request) {
	var transaction struct {
		Expected []row `json:"expectedRevision"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(request.Body).Decode(&transaction); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for _, expected := range transaction.Expected {
		found := row{}
		for _, each := range store.rows(expected.Table) {
			if each.Key == expected.Key {
				found = each
			}
		}
		if found.Version != expected.Version {
			store.answer(writer, http.StatusPreconditionFailed, map[string]any{"rows": []row{found}, "ver": store.version})
			return
		}
	}
	for _, each := range transaction.Puts {
		store.write(row{Table: each.Table, Key: each.Key, Value: each.Value})
	}
	for _, each := range transaction.Remove {
		store.write(row{Table: each.Table, Key: each.Key, Deleted: true})
	}
	store.answer(writer, http.StatusOK, map[string]any{"ver": store.version})
}

package main

// The case of the server that becomes cold while the store is away. Its row can't say so, and
// only its health responses do. It is a plain service with one server.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// warmupPerS and warmupS are those of the sheet of hanbit-config-grown, and coldBound is
	// warmupPerS x warmupOverage + warmupSlack.
	warmupPerS = 26.0
	warmupS    = 3.0
	coldBound  = 44
	// deskPerS is the rate of order-place and order-status on that sheet, 68.3 + 15.7.
	deskPerS    = 84
	deskEntries = 5
	deskSlots   = 6
	deskWork    = 30 * time.Millisecond
	deskPath    = "/desk/1"
	deskHost    = "desk.example"
	deskMS      = 1500
	// settledTime is how long the entries run before the traffic, and the other times count
	// from its start.
	settledTime = 5 * time.Second
	awayAt      = 4 * time.Second
	coldAt      = awayAt + 500*time.Millisecond
	coldTime    = 3 * time.Second
	awayTime    = 4500 * time.Millisecond
	deskTime    = 11 * time.Second
	// noticeTime is how long after it became cold requests aren't counted: time to ask the
	// server for its health.
	noticeTime = time.Second
)

// desk is a server of a plain service that can become cold.
type desk struct {
	address string
	born    int64
	record  *record

	mutex     sync.Mutex
	coldUntil time.Time
	running   int
	runAt     []time.Time
	asked     int
}

func startDesk(address string, written *record) (*desk, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	served := &desk{address: address, born: time.Now().Add(-time.Minute).UnixMilli(), record: written}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", served.handleHealth)
	mux.HandleFunc("/", served.handleRequest)
	go func() { _ = http.Serve(listener, mux) }()
	return served, nil
}

// entry returns the row that the server writes into the list of servers.
func (served *desk) entry(warmupLeft time.Duration) map[string]any {
	return map[string]any{
		"service": "desk", "address": served.address, "zone": zoneName, "version": "v1", "slots": deskSlots, "state": "ready",
		"warmupLeftMs": warmupLeft.Milliseconds(), "sequence": 1, "born": served.born,
	}
}

// load returns what the server says of its load. The caller holds the mutex.
func (served *desk) load() string { return fmt.Sprintf("%d,0,%d,100", served.running, deskSlots) }

func (served *desk) handleHealth(writer http.ResponseWriter, _ *http.Request) {
	served.mutex.Lock()
	left := max(0, time.Until(served.coldUntil)).Milliseconds()
	load := served.load()
	served.asked++
	served.mutex.Unlock()
	writer.Header().Set("X-Instance-Id", "i-0001")
	writer.Header().Set("X-Instance-Load", load)
	writer.Header().Set("X-Warmup-Ms", fmt.Sprint(left))
	served.record.line("the server answers a question for its health, X-Warmup-Ms %d", left)
}

func (served *desk) handleRequest(writer http.ResponseWriter, received *http.Request) {
	id := received.Header.Get("X-Request-Id")
	writer.Header().Set("X-Request-Id", id)
	if _, err := io.ReadAll(received.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if expected := received.Header.Get("X-Expected-Instance"); expected != "" && expected != "i-0001" {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	served.mutex.Lock()
	served.runAt = append(served.runAt, time.Now())
	served.running++
	isCold := time.Now().Before(served.coldUntil)
	served.mutex.Unlock()
	served.record.line("the server runs %s, cold: %t", id, isCold)
	time.Sleep(deskWork)
	served.mutex.Lock()
	served.running--
	writer.Header().Set("X-Instance-Load", served.load())
	served.mutex.Unlock()
	writer.Header().Set("X-Response-Signature", "signed-"+id)
	_, _ = io.WriteString(writer, strings.Repeat("z", 800))
}

// mostInOneSecond returns the largest number of requests that the server got in any second
// between the times.
func (served *desk) mostInOneSecond(from, until time.Time) int {
	served.mutex.Lock()
	defer served.mutex.Unlock()
	most := 0
	for first, at := range served.runAt {
		count := 0
		for _, next := range served.runAt[first:] {
			if at.After(from) && next.Before(until) && next.Sub(at) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// deskConfiguration is the configuration with the one service.
func deskConfiguration() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "r-1", "hostname": deskHost, "prefix": "/desk/", "type": "non_idempotent", "timeoutMs": deskMS, "targetLatencyMs": 200,
			"priority": 1, "service": "desk", "maxAttempts": 1, "public": false,
		}},
		"services": []map[string]any{{
			"name": "desk", "healthPath": "/healthz", "maxConnections": 220, "protocol": "h1", "tls": false, "warmupS": warmupS, "warmupPerS": warmupPerS,
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": tenantName, "apiKeys": []string{apiKey}, "priority": 1}},
	}
}

// startDeskBed starts the store, the server and the entries.
func startDeskBed(root string, written *record) (*testbed, *desk, error) {
	network, err := freeNetwork()
	if err != nil {
		return nil, nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, nil, err
	}
	bed := &testbed{record: written, folder: folder}
	storeAddress := network + ".9.1:8007"
	if bed.store, err = startStore(storeAddress); err != nil {
		return bed, nil, err
	}
	served, err := startDesk(network+".2.1:8001", written)
	if err != nil {
		return bed, nil, err
	}
	bed.store.put("op", "config", deskConfiguration())
	bed.store.put("servers", "i-0001", served.entry(0))
	for number := range deskEntries {
		bed.entries = append(bed.entries, &process{
			role: "entry", name: fmt.Sprintf("frontend-%d", number+1), address: fmt.Sprintf("%s.1.%d", network, number+1), moreSettings: warmupSettings,
			root: root, folder: folder, storeAddress: storeAddress, record: written,
		})
		if err := bed.entries[number].start(); err != nil {
			return bed, nil, err
		}
	}
	return bed, served, bed.awaitReady()
}

func coldBehindOutage(root string, written *record, isTroubled bool) int {
	bed, served, err := startDeskBed(root, written)
	if bed != nil {
		defer bed.close()
	}
	if err != nil {
		written.say("could not run: %v", err)
		return couldNotRun
	}
	time.Sleep(settledTime)
	began := time.Now()
	var trouble sync.WaitGroup
	if isTroubled {
		trouble.Go(func() { served.becomeColdBehindOutage(bed.store, began) })
	}
	statuses := bed.sendToDesk(began)
	trouble.Wait()
	written.say("answers by status: %v", statuses)
	most := served.mostInOneSecond(began.Add(coldAt+noticeTime), began.Add(coldAt+coldTime))
	written.say("the server was asked %d times for its health", served.asked)
	if !isTroubled {
		written.say("the server was never cold")
		return held
	}
	written.say("from %s after it became cold on, the server got %d requests in one second, the bound is %d", noticeTime, most, coldBound)
	if most > coldBound {
		written.say("FAILBACK is broken")
		return broken
	}
	written.say("FAILBACK held")
	return held
}

// becomeColdBehindOutage makes the store turn away all calls, and the server cold meanwhile.
// With OUTAGE=0 the store stays, and the server writes at once that it is cold.
func (served *desk) becomeColdBehindOutage(outer *store, began time.Time) {
	isOutage := os.Getenv("OUTAGE") != "0"
	time.Sleep(time.Until(began.Add(awayAt)))
	if isOutage {
		outer.setAway(true)
		served.record.say("the store is away")
	}
	time.Sleep(time.Until(began.Add(coldAt)))
	served.mutex.Lock()
	served.coldUntil = began.Add(coldAt + coldTime)
	served.mutex.Unlock()
	served.record.say("the server is cold for %s", coldTime)
	if !isOutage {
		outer.put("servers", "i-0001", served.entry(coldTime))
		return
	}
	time.Sleep(time.Until(began.Add(awayAt + awayTime)))
	outer.setAway(false)
	served.record.say("the store is back")
}

// sendToDesk sends requests at an even rate to the entries in turn, and returns how many
// answers had each status, zero for those without one.
func (bed *testbed) sendToDesk(began time.Time) map[int]int {
	var running sync.WaitGroup
	var mutex sync.Mutex
	statuses := map[int]int{}
	addresses := bed.callers()
	for number := range int(deskTime.Seconds()) * deskPerS {
		time.Sleep(time.Until(began.Add(time.Duration(number) * time.Second / deskPerS)))
		running.Go(func() {
			id := fmt.Sprintf("%06x", number+1)
			status := sendOnce(addresses[number%len(addresses)], id)
			bed.record.line("client sent %s to entry %d, status %d", id, number%len(addresses)+1, status)
			mutex.Lock()
			defer mutex.Unlock()
			statuses[status]++
		})
	}
	running.Wait()
	return statuses
}

// sendOnce sends one request on a connection of its own and returns the status, or zero.
func sendOnce(address, id string) int {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * deskMS * time.Millisecond))
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nwork",
		deskPath, deskHost, id, deskMS, apiKey)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

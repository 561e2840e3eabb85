package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// configApplyTime is the bound configApplyMs of the small sites, and applyMargin how
	// long the clients wait beyond it.
	configApplyTime = 2 * time.Second
	applyMargin     = 2 * time.Second
)

// configuration returns a configuration with one route to the service desk and one tenant
// that holds the keys.
func configuration(version int, keys ...string) map[string]any {
	if keys == nil {
		keys = []string{}
	}
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-slip", "hostname": "desk.example", "prefix": "/slip/", "type": "non_idempotent",
			"timeoutMs": 1500, "targetLatencyMs": 300, "priority": 2, "service": "desk", "maxAttempts": 1, "public": false,
		}},
		"services": []map[string]any{{"name": "desk", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "bozi300", "apiKeys": keys}},
	}
}

// runKeys takes the keys of the only tenant away, one after the other. The last one is
// taken away only with the disruption. Afterwards no request with a key that was taken away
// or that never existed may run.
func runKeys(bed *testbed, trouble bool) (held bool, err error) {
	const first, last, invented = "key-first-jnbanfqasn", "key-last-bvk9m68k7b", "key-invented-0000000"
	served, err := bed.startServer(21, 6, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	bed.store.put("op", "config", configuration(3, first, last))
	entry, err := bed.startEntry(11)
	if err != nil {
		return false, err
	}
	if err := entry.awaitReady(); err != nil {
		return false, err
	}
	held = true
	sent := 0
	// ask sends a request and checks whether it runs.
	ask := func(key string, mayRun bool) {
		sent++
		id := fmt.Sprintf("%016x", sent)
		status := bed.send(entry, id, key)
		runs, tenant := served.runs(id)
		isRight := (runs > 0) == mayRun
		bed.record("request %s with %q: status %d, runs %d, X-Tenant %q, right: %v", id, key, status, runs, tenant, isRight)
		held = held && isRight
	}
	ask(first, true)
	ask(last, true)
	ask(invented, false)
	if !held {
		return false, fmt.Errorf("the case did not begin as it should: %s", entry.log())
	}
	acknowledged := bed.store.put("op", "config", configuration(7, last))
	bed.record("version 7 is acknowledged: %q is taken away, one key is left", first)
	time.Sleep(time.Until(acknowledged.Add(configApplyTime + applyMargin)))
	ask(first, false)
	ask(last, true)
	ask(invented, false)
	if !trouble {
		return held, nil
	}
	acknowledged = bed.store.put("op", "config", configuration(12))
	bed.record("version 12 is acknowledged: %q is taken away, the tenant has no key", last)
	time.Sleep(time.Until(acknowledged.Add(configApplyTime + applyMargin)))
	for range 5 {
		ask(first, false)
		ask(last, false)
		ask(invented, false)
		time.Sleep(500 * time.Millisecond)
	}
	return held, nil
}

// send sends a request of the route with the key on a new connection, and returns the
// status of its answer.
func (bed *testbed) send(entry *entryProcess, id, key string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+entry.callers+"/slip/1", strings.NewReader("slip "+id))
	if err != nil {
		panic(err)
	}
	request.Host = "desk.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "1500")
	request.Header.Set("Authorization", "Bearer "+key)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		bed.record("request %s: %v", id, err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

package main

// A small deployment on loopback addresses: a store, an origin of weights, engines with their
// agents, and entries.

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"time"
)

const (
	entryCount  = 2
	engineCount = 4
	readyTime   = 15 * time.Second
)

type testbed struct {
	record  *record
	folder  string
	store   *store
	origin  *origin
	engines []*engine
	entries []*process
	agents  []*process
	version int
}

// freeNetwork returns the first two parts of addresses on which nobody listens.
func freeNetwork() (string, error) {
	for try := range 100 {
		network := fmt.Sprintf("127.%d", 16+(os.Getpid()+try)%200)
		listener, err := net.Listen("tcp", network+".9.1:8007")
		if err == nil {
			_ = listener.Close()
			return network, nil
		}
	}
	return "", fmt.Errorf("no free addresses")
}

// newTestbed starts everything and waits until the entries are ready.
func newTestbed(root string, written *record) (*testbed, error) {
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	bed := &testbed{record: written, folder: folder}
	storeAddress := network + ".9.1:8007"
	if bed.store, err = startStore(storeAddress); err != nil {
		return bed, err
	}
	if bed.origin, err = startOrigin(network+".8.1:8006", written); err != nil {
		return bed, err
	}
	bed.putConfiguration(network)
	bed.store.put("op", "version/"+modelName, map[string]any{"model": modelName, "version": 1})
	for number := range engineCount {
		address := fmt.Sprintf("%s.2.%d", network, number+1)
		served, err := startEngine(fmt.Sprintf("i-%04d", number+1), address+":8001", zoneName, written)
		if err != nil {
			return bed, err
		}
		served.onChange = func() { bed.store.put("servers", served.id, served.entry()) }
		served.onChange()
		bed.engines = append(bed.engines, served)
		bed.agents = append(bed.agents, &process{role: "agent", name: fmt.Sprintf("side-%d", number+1), address: address})
	}
	for number := range entryCount {
		bed.entries = append(bed.entries, &process{role: "entry", name: fmt.Sprintf("frontend-%d", number+1), address: fmt.Sprintf("%s.1.%d", network, number+1)})
	}
	for _, each := range bed.processes() {
		each.root, each.folder, each.storeAddress, each.record = root, folder, storeAddress, written
		if err := each.start(); err != nil {
			return bed, err
		}
	}
	return bed, bed.awaitReady()
}

func (bed *testbed) processes() []*process {
	return append(append([]*process{}, bed.entries...), bed.agents...)
}

// putConfiguration writes the next version of the configuration. Versions differ in the
// timeout of the route.
func (bed *testbed) putConfiguration(network string) time.Time {
	bed.version += 3
	return bed.store.put("op", "config", map[string]any{
		"version": bed.version,
		"routes": []map[string]any{{
			"name": "r-1", "hostname": routeHost, "prefix": routePrefix, "type": "streaming", "timeoutMs": 6000 + bed.version, "targetLatencyMs": 400,
			"priority": 1, "service": serviceName, "maxAttempts": 2, "public": false, "sessionAffinity": true, "streamResume": true, "targetGapMs": 400,
		}},
		"services": []map[string]any{
			{
				"name": serviceName, "healthPath": "/healthz", "maxConnections": 434, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": slots, "kvCapacityTokens": 317000, "tokenKvBytes": 262144, "stride": 5,
					"models": []map[string]any{{"name": modelName, "pace": 1.0, "loadS": 4.0, "warmS": 0.3}}, "sizeMb": 149000.0,
					"step_ms": 9.27, "per_seq_ms": 0.0232, "context_per_k": 0.0322, "read_per_s": 20700.0, "pairs_per_m": 1.18, "chunk": 2048,
					"report_lag_ms": 200.0, "usual": map[string]any{"prompt": 979, "answer": 92}, "layers": 16, "layer_mb": 4090.0, "act_bytes": 16384,
					"chunks": pieces, "chunkBytes": pieceBytes,
				},
			},
			{"name": "weights", "origin": network + ".8.1:8006", "zone": zoneName, "linkMbps": originMbps, "maxConnections": 48},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": tenantName, "apiKeys": []string{apiKey}, "priority": 1}},
	})
}

// network returns the first two parts of the addresses.
func (bed *testbed) network() string {
	parts := bed.entries[0].address
	return parts[:len(parts)-len(".1.1")]
}

func (bed *testbed) callers() []string {
	var addresses []string
	for _, each := range bed.entries {
		addresses = append(addresses, each.address+":8005")
	}
	return addresses
}

// awaitReady waits until all entries say that they are ready.
func (bed *testbed) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(readyTime); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, each := range bed.entries {
			response, err := client.Get("http://" + each.address + ":8002/ready")
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(bed.entries) {
			bed.record.say("all entries are ready")
			return nil
		}
	}
	return fmt.Errorf("the entries are not ready after %s", readyTime)
}

// close ends all processes.
func (bed *testbed) close() {
	for _, each := range bed.processes() {
		each.kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(bed.folder)
	} else {
		fmt.Println("logs in", bed.folder)
	}
}

package main

// All clients of a data centre come to the one entry that is left there. Each sends a request
// on a connection of its own and keeps it open, as long as the pages let clients reuse it.
// Afterwards the traffic is low, the operator changes the configuration, and the entry is
// stopped.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxDescriptors is maxFds of the smaller frontends of skm-firford-grown.
	maxDescriptors = 2870
	// manyPerS are the requests a second in kl-a on that sheet. Eight frontends share them
	// without the trouble.
	manyPerS   = 245
	manyShare  = 8
	manyLength = 15 * time.Second
	// keptTime is four fifths of idleTimeoutMs.
	keptTime      = 12 * time.Second
	calmTime      = 5 * time.Second
	calmPerS      = 20
	configTime    = 3 * time.Second
	configMargin  = time.Second
	changedCount  = 20
	graceTime     = 8 * time.Second
	stopRequestIn = 3 * time.Second
	deskWork      = 300 * time.Millisecond
	deskDeadline  = 1200 * time.Millisecond
)

func deskConfiguration(version int, service string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"r-slot","hostname":"desk.example","prefix":"/slot/","type":"non_idempotent","timeoutMs":1000,"targetLatencyMs":400,"priority":1,"service":%q,"maxAttempts":1,"public":false}],
"services":[{"name":"airtime-desk","healthPath":"/healthz","maxConnections":308,"protocol":"h1","tls":false},{"name":"other-desk","healthPath":"/healthz","maxConnections":308,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"bozi300","apiKeys":["reviewkey"],"priority":1}]}`, version, service)
}

func runDescriptors(testbed *testbed) (bool, error) {
	if err := testbed.startStore(deskConfiguration(1, "airtime-desk")); err != nil {
		return false, err
	}
	for i, service := range []string{"airtime-desk", "airtime-desk", "airtime-desk", "other-desk"} {
		listener, err := testbed.listen(testbed.host(100 + i))
		if err != nil {
			return false, err
		}
		server := newServer(listener, fmt.Sprintf("i-%d-%s", i, service), service, "ruaraka-hall", 60, testbed.runs)
		server.work = deskWork
		testbed.store.put("servers", server.id, server.row("ready", 0))
	}
	fields := testbed.entryFields(0, testbed.store.address)
	fields["bounds.configApplyMs"], fields["bounds.stableWindowMs"] = "3000", "4000"
	command := []string{"/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec target/entry --routed", maxDescriptors)}
	entry, err := newProcess(fields["nodeName"], testbed.directory, "deploy/entry.ini", command, nil, fields)
	if err != nil {
		return false, err
	}
	testbed.processes = append(testbed.processes, entry)
	if err := testbed.restart(entry, 0); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	go testbed.balance(stop)
	testbed.openMany()
	testbed.logf("the connections of all clients are closed, low traffic from now on")
	time.Sleep(calmTime)
	isStale := testbed.changeRoute()
	lost := testbed.stopEntry(entry)
	testbed.recordRuns()
	return isStale || lost > 0, nil
}

// balance asks each second whether the entry is ready, on a new connection, as the platform
// does.
func (testbed *testbed) balance(stop chan struct{}) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for last := ""; ; {
		state := "no answer"
		if response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", testbed.host(10), readinessPort)); err == nil {
			_ = response.Body.Close()
			state = response.Status
		}
		if state != last {
			testbed.logf("readiness: %s", state)
			last = state
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// openMany sends requests on connections that stay open for keptTime.
func (testbed *testbed) openMany() {
	perS := manyPerS
	if !testbed.hasTrouble {
		perS /= manyShare
	}
	var group sync.WaitGroup
	var answered, unanswered, open, most atomic.Int64
	began := time.Now()
	for number := range int(manyLength.Seconds()) * perS {
		time.Sleep(time.Until(began.Add(time.Duration(number) * time.Second / time.Duration(perS))))
		group.Go(func() {
			conn, err := net.DialTimeout("tcp", testbed.entryAddress(0), time.Second)
			if err != nil {
				unanswered.Add(1)
				return
			}
			defer func() { _ = conn.Close() }()
			if open.Add(1) > most.Load() {
				most.Store(open.Load())
			}
			defer open.Add(-1)
			id := fmt.Sprintf("m-%d", number)
			status := ask(conn, id)
			testbed.recordf("request %s: status %d", id, status)
			if status == 0 {
				unanswered.Add(1)
				return
			}
			answered.Add(1)
			time.Sleep(keptTime)
		})
	}
	group.Wait()
	testbed.logf("%d requests answered, %d not, at most %d connections open at once, limit %d descriptors", answered.Load(), unanswered.Load(), most.Load(), maxDescriptors)
}

// ask sends a request on the connection and reads its answer. It returns the status, zero if
// there is no complete answer.
func ask(conn net.Conn, id string) int {
	_ = conn.SetDeadline(time.Now().Add(deskDeadline + 500*time.Millisecond))
	defer func() { _ = conn.SetDeadline(time.Time{}) }()
	text := "POST /slot/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: 1200\r\nAuthorization: Bearer reviewkey\r\nContent-Length: 0\r\n\r\n"
	if _, err := io.WriteString(conn, text); err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// changeRoute moves the route to another service, and reports whether requests that are sent
// after the time for a configuration still run at the old one.
func (testbed *testbed) changeRoute() bool {
	testbed.store.put("op", "config", deskConfiguration(2, "other-desk"))
	changedAt := time.Now()
	testbed.logf("version 2 of the configuration is acknowledged: /slot/ goes to other-desk")
	time.Sleep(configTime + configMargin)
	statuses := map[int]int{}
	for number := range changedCount {
		got := testbed.send(testbed.entryAddress(0), "POST", "/slot/1", fmt.Sprintf("v-%d", number), deskDeadline)
		testbed.recordf("request %s: status %d, %v", got.id, got.status, got.err)
		statuses[got.status]++
		time.Sleep(time.Second / calmPerS)
	}
	old := 0
	for _, run := range testbed.runs.all() {
		if run.id[0] == 'v' && run.server != "i-3-other-desk" && run.at.After(changedAt.Add(configTime)) {
			old++
		}
	}
	testbed.logf("%d of %d requests, sent over %v after that, ran at the old service; statuses %v", old, changedCount, configTime, statuses)
	return old > 0
}

// stopEntry stops the entry as the platform does, while requests come on connections that
// were opened before, and returns how many of those that it passed on got no answer.
func (testbed *testbed) stopEntry(entry *process) int {
	var conns []net.Conn
	for range int(graceTime.Seconds()) * calmPerS {
		conn, err := net.DialTimeout("tcp", testbed.entryAddress(0), time.Second)
		if err != nil {
			break
		}
		conns = append(conns, conn)
	}
	time.Sleep(500 * time.Millisecond)
	entry.signal(syscall.SIGTERM)
	stoppedAt := time.Now()
	testbed.logf("SIGTERM, with %d open connections", len(conns))
	var group sync.WaitGroup
	var lost sync.Map
	for number, conn := range conns {
		time.Sleep(time.Until(stoppedAt.Add(time.Duration(number) * time.Second / calmPerS)))
		group.Go(func() {
			id := fmt.Sprintf("s-%d", number)
			status := ask(conn, id)
			testbed.recordf("request %s: status %d", id, status)
			if status == 0 {
				lost.Store(id, true)
			}
			_ = conn.Close()
		})
	}
	hasEnded := entry.wait(time.Until(stoppedAt.Add(graceTime)))
	if !hasEnded {
		testbed.logf("the entry has not ended %v after SIGTERM, SIGKILL", graceTime)
	} else {
		testbed.logf("the entry ended by itself")
	}
	entry.kill()
	group.Wait()
	count := 0
	for _, run := range testbed.runs.all() {
		isLate := run.at.After(stoppedAt.Add(stopRequestIn))
		if _, isLost := lost.Load(run.id); isLost && isLate {
			testbed.recordf("request %s reached %s %d ms after SIGTERM and got no answer", run.id, run.server, run.at.Sub(stoppedAt).Milliseconds())
			count++
		}
	}
	testbed.logf("%d requests that were passed on later than %v after SIGTERM got no answer", count, stopRequestIn)
	return count
}

package main

// Both servers of a service become cold again at the same moment, as a data centre that
// returns does, and say so in their rows a few milliseconds apart.

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

const (
	// coldBound is warmupPerS x warmupOverage + warmupSlack of the sheet of
	// hanbit-config-grown: 26 x 1.5 + 5.
	coldBound = 44
	coldTime  = 3 * time.Second
	// coldRequestsPerS are 1.7 times the requests for order-desk on that sheet, 68.3 + 15.7.
	coldRequestsPerS = 142
	coldEntries      = 5
	coldLead         = 4 * time.Second
	coldLength       = 10 * time.Second
	coldRowsApart    = 20 * time.Millisecond
	// coldNotice is how long after the acknowledgement of its row a request is not counted.
	coldNotice   = 100 * time.Millisecond
	coldWork     = 30 * time.Millisecond
	coldDeadline = 1500 * time.Millisecond
	coldConfig   = `{"version":1,"routes":[
{"name":"r-order","hostname":"desk.example","prefix":"/order/","type":"non_idempotent","timeoutMs":800,"targetLatencyMs":200,"priority":1,"service":"order-desk","maxAttempts":1,"public":false}],
"services":[{"name":"order-desk","healthPath":"/healthz","maxConnections":220,"protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":26.0}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"bozi300","apiKeys":["reviewkey"],"priority":1}]}`
)

func runColdReturn(testbed *testbed) (bool, error) {
	if err := testbed.startStore(coldConfig); err != nil {
		return false, err
	}
	var servers []*server
	for i := range 2 {
		listener, err := testbed.listen(testbed.host(100 + i))
		if err != nil {
			return false, err
		}
		server := newServer(listener, fmt.Sprintf("i-%d", i), "order-desk", "ruaraka-hall", 6, testbed.runs)
		server.work = coldWork
		testbed.store.put("servers", server.id, server.row("ready", 0))
		servers = append(servers, server)
	}
	for i := range coldEntries {
		if _, err := testbed.startEntry(i, testbed.store.address); err != nil {
			return false, err
		}
	}
	time.Sleep(coldLead)
	var coldAt [2]time.Time
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(coldLead)
		if !testbed.hasTrouble {
			return
		}
		for i, server := range servers {
			testbed.store.put("servers", server.id, server.row("ready", coldTime))
			coldAt[i] = time.Now()
			testbed.logf("%s is cold, its row is acknowledged", server.id)
			time.Sleep(coldRowsApart)
		}
	})
	statuses := testbed.sendSteadily(coldLength, coldRequestsPerS)
	group.Wait()
	testbed.logf("answers by status: %v", statuses)
	testbed.recordRuns()
	isBroken := false
	for i, server := range servers {
		from, until := coldAt[i].Add(coldNotice), coldAt[i].Add(coldTime)
		if !testbed.hasTrouble {
			testbed.logf("%s is never cold", server.id)
			continue
		}
		most := testbed.mostInOneSecond(server.id, from, until)
		testbed.logf("%s got %d requests in one second while cold, the bound is %d", server.id, most, coldBound)
		isBroken = isBroken || most > coldBound
	}
	return isBroken, nil
}

// sendSteadily sends requests at an even rate to the entries in turn, and returns how many
// answers had each status.
func (testbed *testbed) sendSteadily(length time.Duration, perS int) map[int]int {
	var group sync.WaitGroup
	var mutex sync.Mutex
	statuses := map[int]int{}
	began := time.Now()
	for number := range int(length.Seconds()) * perS {
		time.Sleep(time.Until(began.Add(time.Duration(number) * time.Second / time.Duration(perS))))
		group.Go(func() {
			id := fmt.Sprintf("c-%d", number)
			got := testbed.send(testbed.entryAddress(number%coldEntries), "POST", "/order/1", id, coldDeadline)
			testbed.recordf("request %s sent to entry %d: status %d after %d ms, %v", id, number%coldEntries, got.status, got.took.Milliseconds(), got.err)
			mutex.Lock()
			defer mutex.Unlock()
			statuses[got.status]++
		})
	}
	group.Wait()
	return statuses
}

// mostInOneSecond returns the largest number of requests that the server got in any second
// between the times.
func (testbed *testbed) mostInOneSecond(server string, from, until time.Time) int {
	var times []time.Time
	for _, run := range testbed.runs.all() {
		if run.server == server && run.at.After(from) && run.at.Before(until) {
			times = append(times, run.at)
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

package main

// Many callers send a request with a long body at once, each within the limit of the
// configuration. The stand-in of the platform ends a process whose memory exceeds the
// limit of its machine, as the platform does, and starts it again.

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// bodyBytes is limits.maxBodyBytes of the configuration.
	bodyBytes = 4194304
	// memoryLimit is limits.memoryMb of an entry's machine, and goMemoryLimit what an entry
	// takes of it by lib/memory: three quarters of what sysinfo reports on that machine.
	memoryLimit   = 284 << 20
	goMemoryLimit = "GOMEMLIMIT=223346688"
	bodyEntries   = 2
	bodyRounds    = 3
	// bodyCallers is how many requests are sent to one entry in burstTime: the sheet has 62.1
	// a second in ruaraka-hall, a burst 1.7 times as many for 3 s, on two entries.
	bodyCallers = 158
	burstTime   = 3 * time.Second
	// linkBytesPerS is the rate at which the bodies come to one entry: less than half of
	// linkMbps, 1,000 Mbit/s, so that about 0.304 cores can read them.
	linkBytesPerS = 50_000_000
	bodyDeadline  = 6 * time.Second
	restartDelay  = time.Second
	roundPause    = 6 * time.Second
	// usualCallers is how many requests are sent one after the other without the burst.
	usualCallers = 12
)

const bodyConfiguration = `{"version":1,"routes":[
{"name":"r-intake","hostname":"desk.example","prefix":"/intake/","type":"streaming","timeoutMs":6000,"targetLatencyMs":500,"priority":1,"service":"pool","maxAttempts":2,"public":false,"streamResume":true,"targetGapMs":400}],
"services":[{"name":"pool","healthPath":"/healthz","maxConnections":434}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"bozi300","apiKeys":["reviewkey"],"priority":1}]}`

func runLargeBodies(testbed *testbed) (bool, error) {
	if err := testbed.startStore(bodyConfiguration); err != nil {
		return false, err
	}
	for i := range 12 {
		listener, err := testbed.listen(testbed.host(100 + i))
		if err != nil {
			return false, err
		}
		server := newServer(listener, fmt.Sprintf("i-%d", i), "pool", "ruaraka-hall", 16, testbed.runs)
		server.events = 20
		testbed.store.put("servers", server.id, server.row("ready", 0))
	}
	var ends [bodyEntries]atomic.Int64
	var peaks [bodyEntries]atomic.Int64
	stop := make(chan struct{})
	defer close(stop)
	for i := range bodyEntries {
		entry, err := testbed.startEntry(i, testbed.store.address, goMemoryLimit)
		if err != nil {
			return false, err
		}
		go testbed.watchMemory(entry, i, &ends[i], &peaks[i], stop)
	}
	time.Sleep(time.Second)
	for round := range bodyRounds {
		lost, statuses := testbed.sendBodies(round)
		testbed.logf("round %d: statuses %v, %d requests without a complete answer", round+1, statuses, lost)
		time.Sleep(roundPause)
	}
	testbed.recordRuns()
	isBroken := true
	for i := range bodyEntries {
		testbed.logf("entry %d: ended %d times over its memory, peak %d MB of 284", i, ends[i].Load(), peaks[i].Load()>>20)
		isBroken = isBroken && ends[i].Load() >= bodyRounds
	}
	return isBroken, nil
}

// watchMemory ends the entry when it exceeds the memory of its machine, and starts it again.
func (testbed *testbed) watchMemory(entry *process, i int, ends, peak *atomic.Int64, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		resident := entry.residentBytes()
		if resident > peak.Load() {
			peak.Store(resident)
		}
		if resident <= memoryLimit {
			continue
		}
		ends.Add(1)
		testbed.logf("%s has %d MB and is ended, after %v of processor time since its start", entry.name, resident>>20, entry.cpuTime())
		entry.signal(syscall.SIGKILL)
		entry.wait(5 * time.Second)
		time.Sleep(restartDelay)
		if err := testbed.restart(entry, i); err != nil {
			testbed.logf("%v", err)
			return
		}
	}
}

// pacedBody is the body of a request, whose bytes take their turn on the link of an entry.
type pacedBody struct {
	left int
	link *link
}

// link lets the bytes of all connections pass at linkBytesPerS together.
type link struct {
	mutex  sync.Mutex
	freeAt time.Time
}

func (link *link) take(count int) {
	link.mutex.Lock()
	now := time.Now()
	if link.freeAt.Before(now) {
		link.freeAt = now
	}
	link.freeAt = link.freeAt.Add(time.Duration(count) * time.Second / linkBytesPerS)
	until := link.freeAt
	link.mutex.Unlock()
	time.Sleep(time.Until(until))
}

// Read implements io.Reader.
func (body *pacedBody) Read(buffer []byte) (int, error) {
	count := min(len(buffer), body.left, 32<<10)
	if count == 0 {
		return 0, io.EOF
	}
	body.link.take(count)
	clear(buffer[:count])
	body.left -= count
	return count, nil
}

// sendBodies has the callers of a burst send their requests to each entry or, without the
// trouble, a few callers one after the other.
func (testbed *testbed) sendBodies(round int) (lost int, statuses map[int]int) {
	var group sync.WaitGroup
	var mutex sync.Mutex
	statuses = map[int]int{}
	one := func(entry, caller int, link *link) {
		id := fmt.Sprintf("%d-%d-%d", round, entry, caller)
		got := testbed.sendBody(testbed.entryAddress(entry), "POST", "/intake/1", id, bodyDeadline, &pacedBody{left: bodyBytes, link: link}, bodyBytes)
		testbed.recordf("request %s sent to entry %d: status %d after %d ms, %v", id, entry, got.status, got.took.Milliseconds(), got.err)
		mutex.Lock()
		defer mutex.Unlock()
		statuses[got.status]++
		if got.status == 0 {
			lost++
		}
	}
	for entry := range bodyEntries {
		link := &link{}
		group.Go(func() {
			if !testbed.hasTrouble {
				for caller := range usualCallers {
					one(entry, caller, link)
				}
				return
			}
			for caller := range bodyCallers {
				group.Go(func() { one(entry, caller, link) })
				time.Sleep(burstTime / bodyCallers)
			}
		})
	}
	group.Wait()
	return lost, statuses
}

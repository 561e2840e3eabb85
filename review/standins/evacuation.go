package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// evacuateTime is the bound evacuateMs, and inTouchTime the bound stableWindowMs, of
	// hanbit-config-grown. checkMargin is added to both.
	evacuateTime = 5 * time.Second
	inTouchTime  = 4 * time.Second
	checkMargin  = 500 * time.Millisecond
	// storeAwayTime is how long the store is away before it comes back from the copy.
	storeAwayTime = time.Second
	// rewriteTime is how long after its return the operator writes its rows again.
	rewriteTime = 7 * time.Second
	// checkTime is how long requests are checked at the end.
	checkTime = 3 * time.Second
	// parallel is how many requests are sent at the same time, more than one entry sends to
	// a server whose load it does not know.
	parallel = 9
)

// runEvacuation evacuates a data centre. An entry is killed and started again, and with the
// disruption the store comes back from a copy without the row of the evacuation. Nothing
// may be sent to the evacuated servers by machines in touch, until the operator takes the
// evacuation back.
func runEvacuation(bed *testbed, trouble bool) (held bool, err error) {
	bed.bounds = siteBounds{version: 13400, stableWindow: 4000, configApply: 3000}
	evacuated, err := bed.startServerIn(secondDataCentre, 21, 24, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	other, err := bed.startServerIn(dataCentre, 22, 24, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	bed.store.put("op", "config", evacuationConfiguration())
	for _, place := range []struct {
		machine            int
		dataCentre, region string
	}{{31, dataCentre, region}, {32, secondDataCentre, secondRegion}} {
		engine, err := bed.startEngine(place.dataCentre, place.machine)
		if err != nil {
			return false, err
		}
		if _, err := bed.startAgent(engine, "pool", place.dataCentre, place.region); err != nil {
			return false, err
		}
	}
	first, err := bed.startEntryIn(secondDataCentre, secondRegion, 11)
	if err != nil {
		return false, err
	}
	second, err := bed.startEntryIn(secondDataCentre, secondRegion, 12)
	if err != nil {
		return false, err
	}
	for _, entry := range []*entryProcess{first, second} {
		if err := entry.awaitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(inTouchTime)
	sent := 0
	// ask sends requests through the entry for the duration, and returns how many ran at
	// the evacuated server and at the other one.
	ask := func(entry *entryProcess, duration time.Duration) (atEvacuated, atOther int) {
		for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
			var group sync.WaitGroup
			ids := []string{}
			for range parallel {
				sent++
				id := fmt.Sprintf("%016x", sent)
				ids = append(ids, id)
				group.Go(func() { bed.send(entry, id, "key-first-jnbanfqasn") })
			}
			group.Wait()
			for _, id := range ids {
				runsThere, _ := evacuated.runs(id)
				runsHere, _ := other.runs(id)
				atEvacuated += runsThere
				atOther += runsHere
			}
		}
		bed.record("requests through %s: %d ran in %s, %d in %s", entry.name, atEvacuated, secondDataCentre, atOther, dataCentre)
		return atEvacuated, atOther
	}
	before, _ := ask(first, checkTime)
	if before == 0 {
		return false, fmt.Errorf("the case did not begin as it should: no request ran in %s", secondDataCentre)
	}
	copied := bed.store.newest()
	acknowledged := bed.store.put("op", "evacuate/"+secondDataCentre, map[string]any{})
	bed.record("the evacuation of %s is acknowledged", secondDataCentre)
	time.Sleep(time.Until(acknowledged.Add(evacuateTime + checkMargin)))
	bed.record("from now on nothing may reach %s", secondDataCentre)
	held = true
	for _, entry := range []*entryProcess{first, second} {
		reached, _ := ask(entry, time.Second)
		held = held && reached == 0
	}
	if !held {
		return false, nil
	}
	bed.record("%s is killed", second.name)
	second.kill()
	if trouble {
		bed.record("the store is away for %s, and comes back from a copy without the row", storeAwayTime)
		bed.store.restore(copied, storeAwayTime)
		time.AfterFunc(storeAwayTime+rewriteTime, func() {
			bed.store.put("op", "evacuate/"+secondDataCentre, map[string]any{})
			bed.record("the operator writes the row again")
		})
	}
	time.Sleep(storeAwayTime)
	if err := second.start(); err != nil {
		return false, err
	}
	if err := second.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(inTouchTime + checkMargin)
	bed.record("%s is in touch", second.name)
	for _, entry := range []*entryProcess{second, first} {
		reached, _ := ask(entry, checkTime/4)
		held = held && reached == 0
	}
	return held, nil
}

// evacuationConfiguration returns a configuration with a route to the service desk and with
// engines, beside which agents run.
func evacuationConfiguration() map[string]any {
	changed := configuration(3, "key-first-jnbanfqasn")
	changed["services"] = []map[string]any{
		{"name": "desk", "healthPath": "/healthz", "maxConnections": 220, "protocol": "h1", "tls": false},
		{"name": "pool", "healthPath": "/healthz", "maxConnections": 398, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": 12, "stride": 5, "models": []map[string]any{{"name": "m0", "pace": 1.0, "loadS": 4.0, "warmS": 0.3}},
			"step_ms": 9.27, "per_seq_ms": 0.0232, "context_per_k": 0.0322, "read_per_s": 20700.0, "pairs_per_m": 1.18, "chunk": 2048,
			"usual": map[string]any{"prompt": 979, "answer": 92}, "layers": 16, "chunks": 96, "chunkBytes": 24576,
		}},
	}
	return changed
}

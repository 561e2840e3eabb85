package main

import (
	"fmt"
	"time"
)

const (
	// smallInTouchTime is the bound stableWindowMs of the small sites.
	smallInTouchTime = 3 * time.Second
	// keyRewriteTime is how long after the store's return the operator writes its rows again.
	keyRewriteTime = 6 * time.Second
)

// runRestore takes a key away. An entry is killed and started again, and with the disruption
// the store comes back from a copy without that change. No request with the key may run
// through machines in touch.
func runRestore(bed *testbed, trouble bool) (held bool, err error) {
	const dropped, kept = "key-dropped-jnbanfqa", "key-kept-bvk9m68k7b2"
	served, err := bed.startServer(21, 24, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	bed.store.put("op", "config", configuration(3, dropped, kept))
	first, err := bed.startEntry(11)
	if err != nil {
		return false, err
	}
	second, err := bed.startEntry(12)
	if err != nil {
		return false, err
	}
	for _, entry := range []*entryProcess{first, second} {
		if err := entry.awaitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(smallInTouchTime)
	sent := 0
	// ask sends five requests with the key through the entry, and returns how many ran.
	ask := func(entry *entryProcess, key string) (ran int) {
		for range 5 {
			sent++
			id := fmt.Sprintf("%016x", sent)
			status := bed.send(entry, id, key)
			runs, tenant := served.runs(id)
			bed.record("request %s with %q through %s: status %d, runs %d, X-Tenant %q", id, key, entry.name, status, runs, tenant)
			ran += runs
		}
		return ran
	}
	if ask(first, dropped) != 5 || ask(second, dropped) != 5 {
		return false, fmt.Errorf("the case did not begin as it should: %s", first.log())
	}
	copied := bed.store.newest()
	acknowledged := bed.store.put("op", "config", configuration(7, kept))
	bed.record("version 7 is acknowledged: %q is taken away", dropped)
	time.Sleep(time.Until(acknowledged.Add(configApplyTime + checkMargin)))
	if ask(first, dropped)+ask(second, dropped) != 0 {
		return false, nil
	}
	bed.record("%s is killed", second.name)
	second.kill()
	if trouble {
		bed.record("the store is away for %s, and comes back from a copy with version 3", storeAwayTime)
		bed.store.restore(copied, storeAwayTime)
		time.AfterFunc(storeAwayTime+keyRewriteTime, func() {
			bed.store.put("op", "config", configuration(7, kept))
			bed.record("the operator writes version 7 again")
		})
	}
	time.Sleep(storeAwayTime)
	if err := second.start(); err != nil {
		return false, err
	}
	if err := second.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(smallInTouchTime + checkMargin)
	bed.record("%s is in touch", second.name)
	return ask(second, dropped)+ask(first, dropped) == 0, nil
}

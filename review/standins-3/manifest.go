package main

// The case of the spoilt manifest: the origin spoils one answer and sends it twice while a
// version is named. Later all processes are killed, right after a configuration was
// acknowledged, and started again.

import (
	"context"
	"time"
)

const (
	trafficPerS = 20
	// namedAfter counts from the start of the traffic and killedAfter from the naming of the
	// version. The requests of judgedTime are judged, recoverTime after all are back.
	namedAfter  = 4 * time.Second
	killedAfter = 3 * time.Second
	downTime    = time.Second
	recoverTime = 12 * time.Second
	judgedTime  = 10 * time.Second
	// garbleTime is how long the sites let the origin spoil a share of its answers.
	garbleTime = 8 * time.Second
)

func spoiltManifest(root string, written *record, isTroubled bool) int {
	bed, err := newTestbed(root, written)
	if bed != nil {
		defer bed.close()
	}
	if err != nil {
		written.say("could not run: %v", err)
		return couldNotRun
	}
	known := &results{}
	ctx, stop := context.WithCancel(context.Background())
	began := time.Now()
	running := load(ctx, bed.callers(), trafficPerS, known, written)
	time.Sleep(namedAfter)
	if isTroubled {
		bed.origin.mutex.Lock()
		bed.origin.spoilNext = 2
		bed.origin.mutex.Unlock()
	}
	bed.store.put("op", "version/"+modelName, map[string]any{"model": modelName, "version": 2})
	written.say("version 2 is named")
	time.Sleep(killedAfter)
	bed.putConfiguration(bed.network())
	killedAt := time.Now()
	for _, each := range bed.processes() {
		each.kill()
	}
	written.say("a configuration was acknowledged, and all processes were killed")
	time.Sleep(downTime)
	for _, each := range bed.processes() {
		if err := each.start(); err != nil {
			written.say("could not run: %v", err)
			stop()
			return couldNotRun
		}
	}
	backAt := time.Now()
	written.say("all processes were started again")
	time.Sleep(recoverTime + judgedTime)
	stop()
	running.Wait()
	return judgeRecovery(bed, known, began, killedAt, backAt.Add(recoverTime))
}

// judgeRecovery applies the rule RECOVER.
func judgeRecovery(bed *testbed, known *results, began, killedAt, judgedFrom time.Time) int {
	written := bed.record
	sentBefore, servedBefore := known.between(began, killedAt)
	sent, served := known.between(judgedFrom, judgedFrom.Add(judgedTime))
	written.say("before the final fault: %d requests sent, %d served", sentBefore, servedBefore)
	written.say("later than %s after the processes were back: %d requests sent, %d served", recoverTime, sent, served)
	bed.origin.mutex.Lock()
	written.say("the origin gave %d answers, of which %d were spoilt and %d sent twice", bed.origin.answers, bed.origin.spoilt, bed.origin.extra)
	if bed.origin.spoilt > 0 {
		written.say("in the %s from the spoilt answer on, 1 of %d answers was spoilt", garbleTime, bed.origin.answersNear(garbleTime))
	}
	bed.origin.mutex.Unlock()
	for _, each := range bed.engines {
		each.mutex.Lock()
		written.say("engine %s serves version %d after %d orders", each.id, each.version, each.sequence)
		each.mutex.Unlock()
	}
	if stored := bed.store.value("firford", "manifests/"+modelName+"/2"); stored != nil {
		written.say("the manifest of version 2 in the store is the right one: %t", isRightManifest(stored))
	}
	switch {
	case sentBefore == 0 || 4*servedBefore < sentBefore:
		written.say("could not run: less than a quarter was served before the final fault")
		return couldNotRun
	case 4*served < sent:
		written.say("RECOVER is broken: less than a quarter is served")
		return broken
	default:
		written.say("RECOVER held")
		return held
	}
}

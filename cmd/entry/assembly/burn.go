package assembly

import (
	"context"
	"sync"
	"time"

	"firford/lib/burns"
	"firford/lib/configurations"
	"firford/lib/hosts"
	"firford/lib/links"
	"firford/lib/requests"
)

const (
	peerDialTimeout = 2 * time.Second
	maxPeerDials    = 32
)

type (
	// burnObserver records the outcomes and times of callers' requests.
	burnObserver struct {
		recorder *burns.Recorder
	}

	// burnReporter reports the counts of all entries to operators.
	burnReporter struct {
		entry *entry
	}
)

// Observe implements requests.Observer. It records the mean gap between the
// tokens of an answer: if each gap were recorded, a long answer would count as
// many events.
func (observer burnObserver) Observe(observation requests.Observation) {
	deployment, organisation := observation.Deployment, observation.Organisation
	switch observation.Outcome {
	case requests.OutcomeAnswered:
		observer.recorder.RecordAnswered(deployment, organisation, !observation.Ended.After(observation.Deadline))
	case requests.OutcomeNotRun:
		observer.recorder.RecordNotRun(deployment, organisation, observation.Code)
		return
	default:
		observer.recorder.RecordUnknown(deployment, organisation)
	}
	if observation.FirstPart.IsZero() {
		return
	}
	observer.recorder.RecordFirstToken(deployment, organisation, observation.FirstPart.Sub(observation.Started))
	if observation.Parts > 1 {
		gap := observation.Ended.Sub(observation.FirstPart) / time.Duration(observation.Parts-1)
		observer.recorder.RecordTokenGap(deployment, organisation, gap)
	}
}

// BurnReport implements operators.BurnReporter.
func (reporter burnReporter) BurnReport(ctx context.Context, deployment string) ([]byte, error) {
	entry := reporter.entry
	peers := reporter.openLinks(ctx)
	defer func() {
		for _, peer := range peers {
			if peer != nil {
				peer.Close()
			}
		}
	}()
	archive := burns.NewArchive(entry.self.Name, entry.platform, entry.platform)
	counts, missing := burns.GatherCounts(ctx, entry.burnRecorder, archive, peers)
	if deployment != "" {
		counts = counts.ForDeployment(deployment)
	}
	return burns.NewReport(counts, entry.configuration.Current(), time.Now()).WithMissing(missing).JSON()
}

// openLinks opens a link to every other entry. The link is nil for an entry that
// can't be reached.
func (reporter burnReporter) openLinks(ctx context.Context) map[string]*links.Link {
	entry := reporter.entry
	others := hosts.Select(entry.watcher.Current(), func(host hosts.Host) bool {
		return host.Role == hosts.RoleEntry && host.Name != entry.self.Name
	})
	var mutex sync.Mutex
	var dials sync.WaitGroup
	dialSlots := make(chan struct{}, maxPeerDials)
	peers := map[string]*links.Link{}
	for _, host := range others {
		dialSlots <- struct{}{}
		dials.Go(func() {
			defer func() { <-dialSlots }()
			ctx, cancel := context.WithTimeout(ctx, peerDialTimeout)
			defer cancel()
			link, err := links.Dial(ctx, host.Address, entry.options)
			if err != nil {
				link = nil
			}
			mutex.Lock()
			defer mutex.Unlock()
			peers[host.Name] = link
		})
	}
	dials.Wait()
	return peers
}

// recordRolloutTimes records for each rollout the time until all hosts served
// the version. Only the entry that ranks first for a rollout records it. An
// entry that starts during a rollout does not know when it began and does not
// record it.
func (entry *entry) recordRolloutTimes(ctx context.Context) {
	started := map[string]time.Time{}
	revision := int64(0)
	for initial := true; ; initial = false {
		snapshot, err := entry.configuration.Wait(ctx, revision)
		if err != nil {
			return
		}
		revision = snapshot.Revision
		for _, rollout := range configurations.All[configurations.Rollout](snapshot) {
			key := rollout.Deployment + "/" + rollout.Version
			startedAt, known := started[key]
			switch {
			case rollout.State == configurations.RolloutRunning && !known && !initial:
				started[key] = time.Now()
			case rollout.State == configurations.RolloutDone && known:
				delete(started, key)
				if entry.ranksFirst(key) {
					entry.burnRecorder.RecordReplicas(rollout.Deployment, time.Since(startedAt))
				}
			case rollout.State == configurations.RolloutUndone || rollout.State == configurations.RolloutStopped:
				delete(started, key)
			}
		}
	}
}

// ranksFirst reports whether this entry is the first of the entries in the
// rendezvous order for the key.
func (entry *entry) ranksFirst(key string) bool {
	entries := hosts.Select(entry.watcher.Current(), func(host hosts.Host) bool {
		return host.Role == hosts.RoleEntry && !host.Leaving
	})
	ranked := hosts.Rank(key, entries)
	return len(ranked) == 0 || ranked[0].Name == entry.self.Name
}

package hosts

// At full size a process reads the platform's list only twice a minute, far too
// seldom to stop new work on a leaving host within 3 s. All processes together
// read it often, so the first one that sees a host leaving notifies the others.
// Such a hint is not authoritative: the host counts as leaving for new work
// until the list confirms it or the hint expires. A wrong hint only sends work
// to other hosts.

import (
	"slices"
	"time"
)

const (
	// A hint lasts for two polls of the list, so that one of them may fail.
	hintPollIntervals = 2
	minHintDuration   = 5 * time.Second
)

// AddLeavingHint records that another process has seen the host leaving. It
// returns false if that changes nothing: the hint is already in force, or the
// host is not listed or listed as leaving.
func (watcher *Watcher) AddLeavingHint(name string) bool {
	duration := max(minHintDuration, hintPollIntervals*watcher.pollInterval())
	now := time.Now()
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	if deadline, hinted := watcher.hints[name]; hinted && now.Before(deadline) {
		return false
	}
	index := slices.IndexFunc(watcher.listed, func(host Host) bool { return host.Name == name })
	if index < 0 || watcher.listed[index].Leaving {
		return false
	}
	watcher.hints[name] = now.Add(duration)
	watcher.publish(now, false)
	return true
}

// applyHints returns a copy of the list in which hinted hosts are leaving. It
// deletes the hints that have expired or that the list confirms. The caller
// holds the lock.
func (watcher *Watcher) applyHints(now time.Time) []Host {
	effective := slices.Clone(watcher.listed)
	for i, host := range effective {
		deadline, hinted := watcher.hints[host.Name]
		switch {
		case !hinted:
		case host.Leaving || !now.Before(deadline):
			delete(watcher.hints, host.Name)
		default:
			effective[i].Leaving = true
		}
	}
	return effective
}

// ListedHost returns the host as the platform's list describes it, without
// hints.
func (watcher *Watcher) ListedHost(name string) (Host, bool) {
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	index := slices.IndexFunc(watcher.listed, func(host Host) bool { return host.Name == name })
	if index < 0 {
		return Host{}, false
	}
	return watcher.listed[index], true
}

// Refresh requests a read of the list before the next poll is due. It doesn't
// block.
func (watcher *Watcher) Refresh() {
	select {
	case watcher.refresh <- struct{}{}:
	default:
	}
}

package hosts

// At full size a process reads the platform's list twice a minute, far too
// seldom to stop work on a leaving host within 3 s. All processes together read
// it often, so whoever sees first that a host is leaving tells the others. Such
// a hint is not proof: it makes the host count as leaving for new work until the
// list confirms it or the hint expires. A wrong one costs a detour.

import (
	"slices"
	"time"
)

const (
	// A hint outlasts two reads of the list, of which one may fail.
	hintIntervals = 2
	minimumHint   = 5 * time.Second
)

// AddLeavingHint records that another process has seen the host leaving. It reports
// whether that is news here.
func (watcher *Watcher) AddLeavingHint(name string) bool {
	lasts := max(minimumHint, hintIntervals*watcher.pause())
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
	watcher.hints[name] = now.Add(lasts)
	watcher.publish(now, false)
	return true
}

// applyHints returns the list in which hinted hosts are leaving, and drops the
// hints that have expired or that the list confirms.
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

// ListedHost returns the host as the platform's list has it, without hints.
func (watcher *Watcher) ListedHost(name string) (Host, bool) {
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	index := slices.IndexFunc(watcher.listed, func(host Host) bool { return host.Name == name })
	if index < 0 {
		return Host{}, false
	}
	return watcher.listed[index], true
}

// Refresh reads the list again without waiting for the next turn.
func (watcher *Watcher) Refresh() {
	select {
	case watcher.refresh <- struct{}{}:
	default:
	}
}

package rollouts

// This file decides when a version whose load failed may be tried again. Without
// a limit, a host would spend its time on a version that it can't load instead
// of serving the earlier one.

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// After this many failed loads, a host stops trying a version for giveUpDelay.
	// A single failure is not enough, because the engine may have restarted in the
	// middle of the load.
	maxFailures = 3

	initialRetryDelay = time.Second
	giveUpDelay       = time.Minute
)

type (
	// LoadFailures counts the failed loads of each version on one host. It is
	// immutable.
	LoadFailures struct {
		byVersion map[string]versionFailures
	}

	versionFailures struct {
		count   int
		reason  string
		retryAt time.Time
	}
)

// WithFailure returns a copy with one more failed load of the version. The delay
// before the next try grows with each failure and is jittered, so that hosts
// that failed at the same time don't retry at the same time.
func (failures LoadFailures) WithFailure(version, reason string, now time.Time) LoadFailures {
	byVersion := maps.Clone(failures.byVersion)
	if byVersion == nil {
		byVersion = map[string]versionFailures{}
	}
	count := byVersion[version].count + 1
	delay := initialRetryDelay << min(count-1, maxFailures)
	if count >= maxFailures {
		delay = giveUpDelay
	}
	byVersion[version] = versionFailures{count: count, reason: reason, retryAt: now.Add(delay/2 + rand.N(delay))}
	return LoadFailures{byVersion: byVersion}
}

// WithSuccess returns a copy without the failures of the version.
func (failures LoadFailures) WithSuccess(version string) LoadFailures {
	byVersion := maps.Clone(failures.byVersion)
	delete(byVersion, version)
	return LoadFailures{byVersion: byVersion}
}

// RetryAt returns the time from which the version may be loaded again. It is
// zero if no load of the version has failed.
func (failures LoadFailures) RetryAt(version string) time.Time {
	return failures.byVersion[version].retryAt
}

// GiveUpReason returns the error of the last failed load if the version has
// reached the limit of failures, and otherwise an empty string.
func (failures LoadFailures) GiveUpReason(version string) string {
	if last := failures.byVersion[version]; last.count >= maxFailures {
		return last.reason
	}
	return ""
}

// GivenUp reports whether the version has reached the limit of failures and its
// retry time has not come.
func (failures LoadFailures) GivenUp(version string, now time.Time) bool {
	return failures.GiveUpReason(version) != "" && now.Before(failures.RetryAt(version))
}

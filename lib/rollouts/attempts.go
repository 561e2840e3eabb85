package rollouts

import (
	"maps"
	"math/rand/v2"
	"time"
)

const (
	// A version that fails this often on a host is given up for a while. One
	// failure may be a restart of the engine at the wrong moment.
	maxAttempts = 3

	firstRetryPause = time.Second
	giveUpPause     = time.Minute
)

type (
	// LoadFailures counts the failed loads of a host by version. It is immutable.
	LoadFailures struct {
		failures map[string]failure
	}

	failure struct {
		count   int
		reason  string
		retryAt time.Time
	}
)

// WithFailure returns the failures after one more failed load. The pauses grow
// and are jittered, so that hosts that failed together do not retry together.
func (attempts LoadFailures) WithFailure(version, reason string, now time.Time) LoadFailures {
	failures := maps.Clone(attempts.failures)
	if failures == nil {
		failures = map[string]failure{}
	}
	count := failures[version].count + 1
	pause := firstRetryPause << min(count-1, maxAttempts)
	if count >= maxAttempts {
		pause = giveUpPause
	}
	failures[version] = failure{count: count, reason: reason, retryAt: now.Add(pause/2 + rand.N(pause))}
	return LoadFailures{failures: failures}
}

// WithSuccess forgets the failures of a version.
func (attempts LoadFailures) WithSuccess(version string) LoadFailures {
	failures := maps.Clone(attempts.failures)
	delete(failures, version)
	return LoadFailures{failures: failures}
}

// RetryAt returns when the version may be tried again.
func (attempts LoadFailures) RetryAt(version string) time.Time {
	return attempts.failures[version].retryAt
}

// GiveUpReason returns why the version was given up, or an empty text.
func (attempts LoadFailures) GiveUpReason(version string) string {
	if last := attempts.failures[version]; last.count >= maxAttempts {
		return last.reason
	}
	return ""
}

// GivenUp reports whether the version is given up and not yet to be retried.
func (attempts LoadFailures) GivenUp(version string, now time.Time) bool {
	return attempts.GiveUpReason(version) != "" && now.Before(attempts.RetryAt(version))
}

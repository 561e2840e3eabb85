package operations

import (
	"fmt"
	"slices"
	"time"
)

// PropagationLimit is the time within which an accepted change must be in force on
// every live process.
const PropagationLimit = 6 * time.Second

type (
	// ProcessRevision is the revision in force on a process when it was polled.
	// Reached is false if the process did not answer.
	ProcessRevision struct {
		Process  string
		Revision int64
		Reached  bool
	}

	// PropagationCheck checks whether accepted revisions came into force in time on
	// every polled process. PropagationLimit counts from the acceptance, or from the
	// first answer of a process that could not be reached, because a process that is
	// dead, frozen or cut off can't apply anything. A check is immutable.
	PropagationCheck struct {
		accepted   []acceptance
		reached    map[string]time.Time
		violations []string
	}

	acceptance struct {
		revision int64
		at       time.Time
	}
)

// WithAccepted returns the check after a change was accepted.
func (check PropagationCheck) WithAccepted(revision int64, at time.Time) PropagationCheck {
	check.accepted = append(slices.Clone(check.accepted), acceptance{revision: revision, at: at})
	return check
}

// WithPoll returns the check after all processes were polled at the given time.
func (check PropagationCheck) WithPoll(now time.Time, processes []ProcessRevision) PropagationCheck {
	reached := map[string]time.Time{}
	for _, process := range processes {
		if !process.Reached {
			continue
		}
		reachedSince, known := check.reached[process.Process]
		if !known {
			reachedSince = now
		}
		reached[process.Process] = reachedSince
		check = check.withProcess(now, reachedSince, process)
	}
	check.reached = reached
	return check
}

// withProcess adds a violation for the oldest accepted revision that the process
// lacks, if PropagationLimit is over for it.
func (check PropagationCheck) withProcess(now, reachedSince time.Time, process ProcessRevision) PropagationCheck {
	for _, accepted := range check.accepted {
		if accepted.revision <= process.Revision {
			continue
		}
		start := accepted.at
		if reachedSince.After(start) {
			start = reachedSince
		}
		if now.Sub(start) > PropagationLimit {
			check.violations = append(slices.Clone(check.violations), fmt.Sprintf(
				"%s: revision %d in force %s after revision %d was accepted", process.Process, process.Revision,
				now.Sub(start).Round(time.Millisecond), accepted.revision))
		}
		return check
	}
	return check
}

// Violations returns one line for each violation.
func (check PropagationCheck) Violations() []string {
	return slices.Clone(check.violations)
}

// Accepted returns how many changes were accepted.
func (check PropagationCheck) Accepted() int {
	return len(check.accepted)
}

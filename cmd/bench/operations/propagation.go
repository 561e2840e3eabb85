package operations

import (
	"fmt"
	"slices"
	"time"
)

// PropagationLimit is the time within which an accepted change has to be in force
// on every live process.
const PropagationLimit = 6 * time.Second

type (
	// ProcessRevision is what one process answered when it was asked for its revision.
	// Reached is false when it did not answer.
	ProcessRevision struct {
		Process  string
		Revision int64
		Reached  bool
	}

	// PropagationCheck judges from answers of the processes whether accepted revisions
	// came into force in time. A process has the limit from the moment of the
	// acceptance, or from its first answer after it was not reached: what is dead,
	// frozen or cut off can't apply anything. The value is immutable.
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

// WithPoll returns the check after all processes were asked at the moment.
func (check PropagationCheck) WithPoll(at time.Time, sightings []ProcessRevision) PropagationCheck {
	reached := map[string]time.Time{}
	for _, sighting := range sightings {
		if !sighting.Reached {
			continue
		}
		since, known := check.reached[sighting.Process]
		if !known {
			since = at
		}
		reached[sighting.Process] = since
		check = check.withSighting(at, since, sighting)
	}
	check.reached = reached
	return check
}

// withSighting adds a violation for the oldest revision that the process lacks
// although it had the whole limit.
func (check PropagationCheck) withSighting(at, since time.Time, sighting ProcessRevision) PropagationCheck {
	for _, accepted := range check.accepted {
		if accepted.revision <= sighting.Revision {
			continue
		}
		start := accepted.at
		if since.After(start) {
			start = since
		}
		if at.Sub(start) > PropagationLimit {
			check.violations = append(slices.Clone(check.violations), fmt.Sprintf(
				"%s: revision %d in force %s after revision %d was accepted", sighting.Process, sighting.Revision,
				at.Sub(start).Round(time.Millisecond), accepted.revision))
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

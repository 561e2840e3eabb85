package quarantines

// This file holds the records that entries share. Several requests and several entries
// record the same crash, each with the traits that it knows of, and an entry that has not
// seen an answer with some trait hears of it from another one.

import (
	"slices"
	"time"
)

const (
	// mergeTime is how far apart the records of one crash may be: an entry that stood still
	// notices it that much later. Within it, a server that starts again under its id and
	// crashes again counts once, unless the records state its starts.
	mergeTime = 5 * time.Second
	// minRestartTime is how far apart the records of one crash may be if they state
	// different starts of the server, of which an entry may have heard late. A server needs
	// longer than that to start again.
	minRestartTime = time.Second
	// recordLifetime is how long a crash is remembered.
	recordLifetime = time.Hour
	// maxCrashes, maxCrashTraits and maxAnswers bound the records.
	maxCrashes     = 128
	maxCrashTraits = 64
	maxAnswers     = 256
	// sharedTime is how long entries and agents repeat a record to each other.
	// maxSharedCrashes and maxSharedAnswers bound what they repeat to a part of a datagram.
	sharedTime       = 4 * time.Second
	maxSharedCrashes = 10
	maxSharedAnswers = 48
)

type (
	// Crash is a server that ended, and the traits of the requests that it cut off before it
	// had answered them for long. StartedUnixMilli is when the server was started, as far as
	// the entry knew, zero if unknown.
	Crash struct {
		Server           string
		StartedUnixMilli int64
		At               time.Time
		Traits           []Trait
	}

	// Answer is that an answer to a request with the trait began and went on.
	Answer struct {
		Trait   Trait
		BeganAt time.Time
	}

	// Records are crashes ordered by time, and answers. They are immutable.
	Records struct {
		crashes []Crash
		answers []Answer
	}
)

// isSame reports whether both are records of one crash.
func (crash Crash) isSame(other Crash) bool {
	limit := mergeTime
	hasStarts := crash.StartedUnixMilli > 0 && other.StartedUnixMilli > 0
	if hasStarts && crash.StartedUnixMilli != other.StartedUnixMilli {
		limit = minRestartTime
	}
	return crash.Server == other.Server && crash.At.Sub(other.At).Abs() < limit
}

// With returns the records with one more crash, and whether it says anything new.
func (records Records) With(crash Crash, now time.Time) (Records, bool) {
	if crash.At.After(now) {
		crash.At = now
	}
	for i, known := range records.crashes {
		if !known.isSame(crash) {
			continue
		}
		traits := union(known.Traits, crash.Traits)
		if len(traits) == len(known.Traits) {
			return records, false
		}
		next := slices.Clone(records.crashes)
		next[i].Traits = traits
		records.crashes = next
		return records, true
	}
	if now.Sub(crash.At) >= recordLifetime {
		return records, false
	}
	crash.Traits = union(nil, crash.Traits)
	next := append(slices.Clone(records.crashes), crash)
	slices.SortFunc(next, func(left, right Crash) int { return left.At.Compare(right.At) })
	records.crashes = next[max(0, len(next)-maxCrashes):]
	return records, true
}

// WithAnswer returns the records with one more answer, and whether it says anything new.
func (records Records) WithAnswer(answer Answer, now time.Time) (Records, bool) {
	if answer.BeganAt.After(now) {
		answer.BeganAt = now
	}
	next := slices.Clone(records.answers)
	for i, known := range next {
		if known.Trait != answer.Trait {
			continue
		}
		if !answer.BeganAt.After(known.BeganAt) {
			return records, false
		}
		next = slices.Delete(next, i, i+1)
		break
	}
	next = append(next, answer)
	records.answers = next[max(0, len(next)-maxAnswers):]
	return records, true
}

// WithAll returns the records with all of the others, and whether a crash among them says
// anything new.
func (records Records) WithAll(others Records, now time.Time) (Records, bool) {
	isChanged := false
	for _, crash := range others.crashes {
		next, isNew := records.With(crash, now)
		records = next
		isChanged = isChanged || isNew
	}
	for _, answer := range others.answers {
		records, _ = records.WithAnswer(answer, now)
	}
	return records, isChanged
}

// Recent returns the newest crashes, which are to be repeated, and the answers with their
// traits.
func (records Records) Recent(now time.Time) Records {
	crashes := records.since(now.Add(-sharedTime), maxSharedCrashes)
	answers := slices.DeleteFunc(slices.Clone(records.answers), func(answer Answer) bool {
		return !slices.ContainsFunc(crashes, func(crash Crash) bool { return slices.Contains(crash.Traits, answer.Trait) })
	})
	return Records{crashes: crashes, answers: answers[max(0, len(answers)-maxSharedAnswers):]}
}

// Evidence returns the crashes for which traits are to be quarantined, without what else
// they cut off, and the answers with these traits. It is what an entry needs to know that
// has not heard the records.
func (records Records) Evidence(now time.Time) Records {
	records = records.withoutOld(now)
	answers := map[Trait]soundness{}
	for _, answer := range records.answers {
		answers[answer.Trait] = soundness{lastBeganAt: answer.BeganAt, answers: 1, complete: 1}
	}
	blamed := assess(records.crashes, func(trait Trait) soundness { return answers[trait] }, func(Trait) bool { return false })
	isQuarantined := func(trait Trait) bool { return blamed[trait].isQuarantined() }
	evidence := Records{}
	for _, crash := range records.crashes {
		crash.Traits = slices.DeleteFunc(slices.Clone(crash.Traits), func(trait Trait) bool { return !isQuarantined(trait) })
		if len(crash.Traits) > 0 {
			evidence.crashes = append(evidence.crashes, crash)
		}
	}
	for _, answer := range records.answers {
		if isQuarantined(answer.Trait) {
			evidence.answers = append(evidence.answers, answer)
		}
	}
	return evidence
}

// IsEmpty reports whether there are no records.
func (records Records) IsEmpty() bool { return len(records.crashes)+len(records.answers) == 0 }

// Crashes returns the crashes, ordered by time.
func (records Records) Crashes() []Crash { return slices.Clone(records.crashes) }

// Answers returns the answers.
func (records Records) Answers() []Answer { return slices.Clone(records.answers) }

// since returns the crashes after the time, at most count of them. They are the newest.
func (records Records) since(from time.Time, count int) []Crash {
	first := max(0, len(records.crashes)-count)
	for first < len(records.crashes) && !records.crashes[first].At.After(from) {
		first++
	}
	return slices.Clone(records.crashes[first:])
}

// withoutOld returns the records that are still remembered.
func (records Records) withoutOld(now time.Time) Records {
	records.crashes = records.since(now.Add(-recordLifetime), maxCrashes)
	return records
}

// union returns the traits of both, at most maxCrashTraits of them.
func union(traits, more []Trait) []Trait {
	joined := slices.Clone(traits)
	for _, trait := range more {
		if len(joined) < maxCrashTraits && !slices.Contains(joined, trait) {
			joined = append(joined, trait)
		}
	}
	return joined
}

package directives

// The time for a version counts from its announcement, but the store does not tell when a
// row was written, and a process that stood still or was cut off sees it late. If each
// process counted from its own first view, a late one would use earlier versions for
// longer than all others. So processes tell each other for how long they have known a
// version, and the longest time counts. Entries tell the agents with each announcement, and
// an agent answers an entry that knows less and asks for what the agent knows.

import (
	"time"

	"go.uber.org/zap"

	"firford/lib/placements"
	"firford/lib/waits"
)

const (
	// sharedTime is how long after its due time others are told the age of a version.
	sharedTime = 10 * time.Minute
	// maxSharedVersions is how many versions of a model others are told of, the newest ones. A
	// process that missed several needs the first of them, which ends what it uses.
	maxSharedVersions = 16
	// maxVersionAge bounds the ages that are believed.
	maxVersionAge = 24 * time.Hour
	// ageTolerance is the difference between two ages that does not count. Datagrams take
	// some time, and the tolerances of several processes add up.
	ageTolerance = 50 * time.Millisecond
)

type (
	// VersionAge is for how long a version has been known to be announced, in milliseconds.
	// It is an age, since the clocks of two hosts differ.
	VersionAge struct {
		Version int   `json:"version"`
		AgeMS   int64 `json:"age_ms"`
	}

	// VersionAges are the ages of the announced versions by model.
	VersionAges map[string][]VersionAge
)

// announcedAt returns when the version was announced, or false if the age can't be true.
func (age VersionAge) announcedAt(now time.Time) (time.Time, bool) {
	if age.Version <= 0 || age.AgeMS < 0 || age.AgeMS > maxVersionAge.Milliseconds() {
		return time.Time{}, false
	}
	return now.Add(-time.Duration(age.AgeMS) * time.Millisecond), true
}

// find returns when the version of the model was announced by these ages, or false if they
// do not tell.
func (ages VersionAges) find(model string, version int, now time.Time) (time.Time, bool) {
	for _, age := range ages[model] {
		if age.Version == version {
			return age.announcedAt(now)
		}
	}
	return time.Time{}, false
}

// versionAges returns the ages of the versions that others should know.
func versionAges(targets placements.VersionTargets, now time.Time) VersionAges {
	ages := VersionAges{}
	for _, model := range targets.Models() {
		known := targets.All(model)
		for _, target := range known[max(0, len(known)-maxSharedVersions):] {
			if !target.AnnouncedAt.IsZero() && now.Before(target.Due.Add(sharedTime)) {
				ages[model] = append(ages[model], VersionAge{Version: target.Version, AgeMS: now.Sub(target.AnnouncedAt).Milliseconds()})
			}
		}
	}
	return ages
}

// UnknownAges returns the ages of the versions that the sender of the announcement does
// not know or has known for a shorter time. It is empty if there are none.
func (follower *Follower) UnknownAges(announcement Announcement, now time.Time) VersionAges {
	unknown := VersionAges{}
	for model, ages := range versionAges(follower.Targets(), now) {
		for _, age := range ages {
			own, _ := age.announcedAt(now)
			told, isTold := announcement.Ages.find(model, age.Version, now)
			if !isTold || told.Sub(own) > ageTolerance {
				unknown[model] = append(unknown[model], age)
			}
		}
	}
	return unknown
}

// ApplyAges applies for how long another process has known versions.
func (follower *Follower) ApplyAges(ages VersionAges, now time.Time) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.applyAges(ages, now)
}

// applyAges is ApplyAges for callers that hold the mutex.
func (follower *Follower) applyAges(ages VersionAges, now time.Time) {
	targets := follower.Targets()
	isChanged := false
	for model, list := range ages {
		for _, age := range list {
			announcedAt, isPossible := age.announcedAt(now)
			known, isKnown := targets.Find(model, age.Version)
			isEarlier := known.AnnouncedAt.IsZero() || known.AnnouncedAt.Sub(announcedAt) > ageTolerance
			if !isPossible || !isEarlier {
				continue
			}
			told := placements.VersionTarget{
				Version: age.Version, AnnouncedAt: announcedAt, Due: announcedAt.Add(follower.VersionTimeout), BeforeStart: !follower.loaded,
			}
			targets = targets.With(model, told)
			isChanged = true
			follower.logAge(model, known, isKnown, told, now)
		}
	}
	if isChanged {
		follower.setTargets(targets)
	}
}

// logAge logs a version of which another process told, or for how long it has known one.
func (follower *Follower) logAge(model string, known placements.VersionTarget, isKnown bool, told placements.VersionTarget, now time.Time) {
	age := zap.Duration("age", now.Sub(told.AnnouncedAt))
	if isKnown {
		due := waits.Earlier(known.Due, told.Due)
		follower.logEarlier(model, told.Version, known.Due.Sub(due), due.Sub(now), age)
		return
	}
	follower.Logger.Info("version named", zap.String("model", model), zap.Int("version", told.Version), age,
		zap.Bool("before_start", told.BeforeStart), zap.Duration("due_in", told.Due.Sub(now)))
}

// logEarlier logs that a known version was announced earlier than this process knew, and by
// what it is known.
func (follower *Follower) logEarlier(model string, version int, dueEarlierBy, dueIn time.Duration, reason zap.Field) {
	follower.Logger.Info("version known earlier", zap.String("model", model), zap.Int("version", version), reason,
		zap.Duration("due_earlier_by", dueEarlierBy), zap.Duration("due_in", dueIn))
}

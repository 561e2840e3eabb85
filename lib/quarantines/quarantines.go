// Package quarantines finds the parts of prompts under which backend servers crash, and
// keeps requests with them away from the servers.
//
// A request whose answer broke off says little: its server may have crashed under
// another request, or for another reason. What many crashes have in common says more.
// Each entry records which parts were in the requests that a crash cut off, entries
// share these records, and assess finds the fewest parts that explain them. A part with
// which servers answer is sound, whatever it was cut off with before.
//
// Judging requests by themselves was dropped: no two of them need to be alike, and by
// the second crash of each, a fleet is down. So was judging whole prompts: the parts
// around the bad one are those of sound requests.
//
// The package holds no timers and no connections. Callers pass in the current time.
package quarantines

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// CrashTime is how long after an answer began its request may be what crashes the
	// server. An answer may be complete before that.
	CrashTime = time.Second
	// soundTime is how long after an answer began with a part the part is not blamed for
	// crashes. Nearly all prompts share some part, and each crash cuts off requests with it.
	soundTime = 2 * time.Second
	// probeInterval is the time from the last crash under a part until a single request
	// with it is let through. It doubles with each such request that crashed a server, up
	// to maxProbeDoublings times.
	probeInterval     = 20 * time.Second
	maxProbeDoublings = 4
	// probeTimeout is how long further requests wait for the outcome of a probe.
	probeTimeout = 10 * time.Second
	// probeSpacing is the pause between the probes of two entries, maxProbeSpread bounds the
	// time over which those of all entries are spread. An entry hears in the pause that the
	// probe of another one crashed a server.
	probeSpacing   = 2 * time.Second
	maxProbeSpread = 20 * time.Second
	// assumedEntries is the number of entries that is assumed until an agent tells it.
	assumedEntries = 16
	// countedRequests is the number of recent requests from which the share of requests with
	// a part is taken.
	countedRequests = 512
	// commonShare is the share of requests above which a part is in nearly all of them. It
	// exceeds the share that requests with a bad part reach, even if they come in masses.
	commonShare = 0.8
	// maxSoundParts bounds the parts that are remembered as sound, and maxUnproven the
	// answers whose servers may still crash.
	maxSoundParts = 8192
	maxUnproven   = 1024
)

type (
	// Verdict states whether a request may be sent to a server. Part is its quarantined
	// part, empty if it has none. The next request with the part may be let through at
	// RetryAt, unless IsProbe is set: this one may, to find out whether the part is still bad.
	Verdict struct {
		Part    string
		RetryAt time.Time
		IsProbe bool
	}

	// Change is a part whose quarantine began or ended.
	Change struct {
		Part          string
		IsQuarantined bool
		Crashes       int
	}

	// Ledger holds what one entry knows about crashes. It is safe for concurrent use.
	Ledger struct {
		mutex sync.Mutex
		// own are the crashes that this entry recorded, and all those of all entries.
		own, all Records
		// unproven are answers that began less than CrashTime ago, in the order in which they
		// were recorded.
		unproven []unprovenAnswer
		// recent and former hold the parts that are sound. Once half of maxSoundParts are
		// recent, they become the former ones.
		recent, former map[string]soundness
		// requests and requestsWith count recent requests, and those with each part.
		requests     int
		requestsWith map[string]int
		blamed       map[string]blame
		// probes holds until when this entry awaits the outcome of a probe.
		probes map[string]time.Time
		// position is the place of this entry among count entries.
		position, count int
	}

	// soundness is when the last answer with a part began that its server survived, and how
	// many such answers there were. It is zero if there was none.
	soundness struct {
		lastBeganAt time.Time
		answers     int
	}

	unprovenAnswer struct {
		server  string
		beganAt time.Time
		parts   []string
	}
)

// IsRefused reports whether the request may not be sent to a server.
func (verdict Verdict) IsRefused() bool { return verdict.Part != "" && !verdict.IsProbe }

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		recent: map[string]soundness{}, former: map[string]soundness{},
		blamed: map[string]blame{}, probes: map[string]time.Time{}, requestsWith: map[string]int{},
		position: assumedEntries - 1, count: assumedEntries,
	}
}

// SetEntries sets the number of entries and the place of this one among them.
func (ledger *Ledger) SetEntries(position, count int) {
	if count <= 0 || position < 0 || position >= count {
		return
	}
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.position, ledger.count = position, count
}

// CountRequest counts a request with the parts that a caller sent.
func (ledger *Ledger) CountRequest(parts []string) {
	if len(parts) == 0 {
		return
	}
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if ledger.requests >= countedRequests {
		ledger.halveCounts()
	}
	ledger.requests++
	for _, part := range parts {
		ledger.requestsWith[part]++
	}
}

// halveCounts makes older requests count less. The caller holds the mutex.
func (ledger *Ledger) halveCounts() {
	ledger.requests /= 2
	for part, count := range ledger.requestsWith {
		ledger.requestsWith[part] = count / 2
	}
	maps.DeleteFunc(ledger.requestsWith, func(_ string, count int) bool { return count == 0 })
}

// isCommon reports whether nearly all requests have the part. The caller holds the mutex.
func (ledger *Ledger) isCommon(part string) bool {
	return float64(ledger.requestsWith[part]) > commonShare*float64(ledger.requests)
}

// RecordAnswer records that the server began to answer a request with the parts. It
// counts once the server has survived that for CrashTime. It returns the parts whose
// quarantine has ended.
func (ledger *Ledger) RecordAnswer(server string, parts []string, beganAt, now time.Time) []Change {
	if len(parts) == 0 {
		return nil
	}
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.unproven = append(ledger.unproven, unprovenAnswer{server: server, beganAt: beganAt, parts: parts})
	return ledger.proveAnswers(now)
}

// proveAnswers counts the answers that their servers have survived. The caller holds the
// mutex.
func (ledger *Ledger) proveAnswers(now time.Time) []Change {
	isBlamed := false
	ledger.unproven = slices.DeleteFunc(ledger.unproven, func(answer unprovenAnswer) bool {
		if now.Sub(answer.beganAt) < CrashTime {
			return false
		}
		for _, part := range answer.parts {
			isBlamed = ledger.recordSound(part, answer.beganAt) || isBlamed
		}
		return true
	})
	ledger.unproven = ledger.unproven[max(0, len(ledger.unproven)-maxUnproven):]
	if !isBlamed {
		return nil
	}
	return ledger.reassess(now)
}

// dropUnproven drops the answers of a server that has crashed. The caller holds the mutex.
func (ledger *Ledger) dropUnproven(crash Crash) {
	ledger.unproven = slices.DeleteFunc(ledger.unproven, func(answer unprovenAnswer) bool {
		return answer.server == crash.Server && crash.At.Sub(answer.beganAt) < CrashTime
	})
}

// recordSound records that an answer with the part began, and reports whether the part
// was blamed for crashes. The caller holds the mutex.
func (ledger *Ledger) recordSound(part string, beganAt time.Time) (wasBlamed bool) {
	known := ledger.soundness(part)
	if !beganAt.After(known.lastBeganAt) {
		return false
	}
	ledger.makeRoom()
	ledger.recent[part] = soundness{lastBeganAt: beganAt, answers: known.answers + 1}
	_, wasBlamed = ledger.blamed[part]
	return wasBlamed
}

// makeRoom makes room for one more part that is sound. The caller holds the mutex.
func (ledger *Ledger) makeRoom() {
	if len(ledger.recent) < maxSoundParts/2 {
		return
	}
	ledger.former = ledger.recent
	ledger.recent = map[string]soundness{}
}

// soundness returns what is known of the answers with the part. The caller holds the
// mutex.
func (ledger *Ledger) soundness(part string) soundness {
	if known, isRecent := ledger.recent[part]; isRecent {
		return known
	}
	return ledger.former[part]
}

// RecordOwn records a crash that cut off a request of this entry. It returns whether that
// is news for the other entries, and what has changed.
func (ledger *Ledger) RecordOwn(crash Crash, now time.Time) (isNew bool, changes []Change) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	changes = ledger.proveAnswers(now)
	crash.Parts = slices.DeleteFunc(slices.Clone(crash.Parts), func(part string) bool { return ledger.isSoundAt(part, crash.At) })
	if len(crash.Parts) == 0 {
		ledger.dropUnproven(crash)
		return false, changes
	}
	ledger.own, isNew = ledger.own.withoutOld(now).With(crash, now)
	return isNew, append(changes, ledger.add([]Crash{crash}, now)...)
}

// Merge records what other entries have recorded, and returns what has changed.
func (ledger *Ledger) Merge(records Records, now time.Time) []Change {
	if records.IsEmpty() {
		return nil
	}
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	changes := ledger.proveAnswers(now)
	isSound := false
	for _, answer := range records.answers {
		isSound = ledger.recordSound(answer.Part, answer.BeganAt) || isSound
	}
	changes = append(changes, ledger.add(records.crashes, now)...)
	if isSound {
		changes = append(changes, ledger.reassess(now)...)
	}
	return changes
}

// Own returns the newest crashes, and which of their parts are known to be sound, for the
// other entries. An entry that has just started knows no sound part itself.
func (ledger *Ledger) Own(now time.Time) Records {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	own := ledger.own
	for _, crash := range ledger.all.since(now.Add(-sharedTime), maxSharedCrashes) {
		own, _ = own.With(crash, now)
		for _, part := range crash.Parts {
			if known := ledger.soundness(part); known.answers > 0 {
				own, _ = own.WithAnswer(Answer{Part: part, BeganAt: known.lastBeganAt}, now)
			}
		}
	}
	return own.Recent(now)
}

// add adds crashes to those of all entries. The caller holds the mutex.
func (ledger *Ledger) add(crashes []Crash, now time.Time) []Change {
	isChanged := false
	for _, crash := range crashes {
		ledger.dropUnproven(crash)
		next, isNew := ledger.all.With(crash, now)
		ledger.all = next
		isChanged = isChanged || isNew
	}
	if !isChanged {
		return nil
	}
	return ledger.reassess(now)
}

// isSoundAt reports whether the part can't be blamed for a crash at the time.
func (ledger *Ledger) isSoundAt(part string, at time.Time) bool {
	return at.Before(ledger.soundness(part).lastBeganAt.Add(soundTime))
}

// reassess finds the parts that explain the crashes, and returns what has changed. The
// caller holds the mutex.
func (ledger *Ledger) reassess(now time.Time) []Change {
	ledger.all = ledger.all.withoutOld(now)
	before := ledger.blamed
	ledger.blamed = assess(ledger.all.crashes, ledger.knownSoundness(), ledger.isCommon)
	var changes []Change
	for _, part := range slices.Sorted(maps.Keys(ledger.blamed)) {
		next := ledger.blamed[part]
		if next.isQuarantined() && !before[part].isQuarantined() {
			changes = append(changes, Change{Part: part, IsQuarantined: true, Crashes: len(next.moments)})
		}
	}
	for _, part := range slices.Sorted(maps.Keys(before)) {
		if before[part].isQuarantined() && !ledger.blamed[part].isQuarantined() {
			changes = append(changes, Change{Part: part, Crashes: len(ledger.blamed[part].moments)})
			delete(ledger.probes, part)
		}
	}
	return changes
}

// knownSoundness returns a function that counts unproven answers as well, which decide
// between parts that are equally suspect. The caller holds the mutex.
func (ledger *Ledger) knownSoundness() func(part string) soundness {
	unproven := map[string]int{}
	for _, answer := range ledger.unproven {
		for _, part := range answer.parts {
			unproven[part]++
		}
	}
	return func(part string) soundness {
		known := ledger.soundness(part)
		known.answers += unproven[part]
		return known
	}
}

// Check returns the verdict on a request with the parts that is about to be sent.
func (ledger *Ledger) Check(parts []string, now time.Time) Verdict {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	verdict := Verdict{}
	for _, part := range parts {
		blame := ledger.blamed[part]
		if !blame.isQuarantined() {
			continue
		}
		retryAt := later(blame.probeAt().Add(ledger.probeDelay(part)), ledger.probes[part])
		if now.Before(retryAt) {
			return Verdict{Part: part, RetryAt: retryAt}
		}
		verdict = Verdict{Part: part, IsProbe: true}
	}
	if verdict.IsProbe {
		ledger.probes[verdict.Part] = now.Add(probeTimeout)
	}
	return verdict
}

// probeDelay returns by how much later than the first entry this one may send a probe.
func (ledger *Ledger) probeDelay(part string) time.Duration {
	turn := (uint64(ledger.position) + xxhash.Sum64String(part)) % uint64(ledger.count)
	return time.Duration(turn) * min(probeSpacing, maxProbeSpread/time.Duration(ledger.count))
}

// MayRepeat reports whether a request that a crash cut off may be sent to another server.
// That needs less evidence than a quarantine: the request itself has just been cut off.
func (ledger *Ledger) MayRepeat(parts []string) bool {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return !slices.ContainsFunc(parts, func(part string) bool { return len(ledger.blamed[part].moments) >= minRepeatCrashes })
}

// Quarantined returns the number of parts that are quarantined.
func (ledger *Ledger) Quarantined() int {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	count := 0
	for _, blame := range ledger.blamed {
		if blame.isQuarantined() {
			count++
		}
	}
	return count
}

func later(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

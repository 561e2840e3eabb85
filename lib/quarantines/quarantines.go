// Package quarantines finds the requests and the parts of prompts under which backend
// servers crash, and keeps requests with them away from the servers.
//
// A request whose answer broke off says little: its server may have crashed under
// another request, or for another reason. What many crashes have in common says more.
// Each entry records which traits the requests had that a crash cut off: their parts, and
// the fingerprint that tells when the same request comes again. Entries share these
// records, and assess finds the fewest traits that explain them. A trait with which
// servers answer is sound, whatever it was cut off with before.
//
// Judging requests alone was dropped: no two with a bad part need to be alike, and by
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

	"firford/lib/waits"
)

const (
	// CrashTime is how long after an answer began its request may be what crashes the
	// server. An answer may be complete before that.
	CrashTime = time.Second
	// soundTime is how long after an answer began with a part the part is not blamed for
	// crashes. Nearly all prompts share some part, and each crash cuts off requests with it.
	soundTime = 250 * time.Millisecond
	// provisionalTime is how long after an answer began it counts for the time being. If its
	// server crashes within CrashTime, it no longer does.
	provisionalTime = 250 * time.Millisecond
	// probeInterval is the time from the last crash under a trait until a single request
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
	// maxUnproven bounds the answers whose servers may still crash.
	maxUnproven = 1024
)

type (
	// Verdict states whether a request may be sent to a server. Trait is its quarantined
	// trait, nil if it has none. The next request with the trait may be let through at
	// RetryAt, unless IsProbe is set: this one may, to find out whether the trait is still bad.
	Verdict struct {
		Trait   Trait
		RetryAt time.Time
		IsProbe bool
	}

	// Change is a trait whose quarantine began or ended.
	Change struct {
		Trait         Trait
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
		// soundParts and soundRequests are the traits with which answers have begun. They are
		// apart, since most requests differ from all others and would push out the parts.
		soundParts, soundRequests soundTraits
		// requests and requestsWith count recent requests, and those with each part.
		requests     int
		requestsWith map[Trait]int
		blamed       map[Trait]blame
		// probes holds until when this entry awaits the outcome of a probe.
		probes map[Trait]time.Time
		// position is the place of this entry among count entries.
		position, count int
	}

	unprovenAnswer struct {
		server  string
		beganAt time.Time
		traits  []Trait
	}
)

// IsRefused reports whether the request may not be sent to a server.
func (verdict Verdict) IsRefused() bool { return verdict.Trait != nil && !verdict.IsProbe }

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		blamed: map[Trait]blame{}, probes: map[Trait]time.Time{}, requestsWith: map[Trait]int{},
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

// CountRequest counts a request with the traits that a caller sent. Fingerprints are not
// counted: if nearly all requests are the same one, refusing it keeps no other away.
func (ledger *Ledger) CountRequest(traits []Trait) {
	parts := slices.DeleteFunc(slices.Clone(traits), func(trait Trait) bool { _, isPart := trait.(Part); return !isPart })
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
	for trait, count := range ledger.requestsWith {
		ledger.requestsWith[trait] = count / 2
	}
	maps.DeleteFunc(ledger.requestsWith, func(_ Trait, count int) bool { return count == 0 })
}

// isCommon reports whether nearly all requests have the trait. The caller holds the mutex.
func (ledger *Ledger) isCommon(trait Trait) bool {
	return float64(ledger.requestsWith[trait]) > commonShare*float64(ledger.requests)
}

// RecordAnswer records that the server began to answer a request with the traits. It
// counts once the server has survived that for CrashTime. It returns the traits whose
// quarantine has ended.
func (ledger *Ledger) RecordAnswer(server string, traits []Trait, beganAt, now time.Time) []Change {
	if len(traits) == 0 {
		return nil
	}
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	for _, trait := range traits {
		ledger.sound(trait).countComplete(trait)
	}
	ledger.unproven = append(ledger.unproven, unprovenAnswer{server: server, beganAt: beganAt, traits: traits})
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
		for _, trait := range answer.traits {
			isBlamed = ledger.recordSound(trait, answer.beganAt) || isBlamed
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

// recordSound records that an answer with the trait began, and reports whether the trait
// was blamed for crashes. The caller holds the mutex.
func (ledger *Ledger) recordSound(trait Trait, beganAt time.Time) (wasBlamed bool) {
	if !ledger.sound(trait).record(trait, beganAt) {
		return false
	}
	_, wasBlamed = ledger.blamed[trait]
	return wasBlamed
}

// RecordOwn records a crash that cut off a request of this entry. It returns whether that
// is news for the other entries, and what has changed.
func (ledger *Ledger) RecordOwn(crash Crash, now time.Time) (isNew bool, changes []Change) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	changes = ledger.proveAnswers(now)
	ledger.dropUnproven(crash)
	known := ledger.knownSoundness(now)
	crash.Traits = slices.DeleteFunc(slices.Clone(crash.Traits), func(trait Trait) bool { return known(trait).isSoundAt(crash.At) })
	if len(crash.Traits) == 0 {
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
		isSound = ledger.recordSound(answer.Trait, answer.BeganAt) || isSound
	}
	changes = append(changes, ledger.add(records.crashes, now)...)
	if isSound {
		changes = append(changes, ledger.reassess(now)...)
	}
	return changes
}

// Own returns the newest crashes, and which of their traits are known to be sound, for the
// other entries. An entry that has just started knows no sound trait itself.
func (ledger *Ledger) Own(now time.Time) Records {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	own := ledger.own
	for _, crash := range ledger.all.since(now.Add(-sharedTime), maxSharedCrashes) {
		own, _ = own.With(crash, now)
		for _, trait := range crash.Traits {
			if known := ledger.sound(trait).get(trait); known.answers > 0 {
				own, _ = own.WithAnswer(Answer{Trait: trait, BeganAt: known.lastBeganAt}, now)
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

// sound returns what is remembered of the answers with traits like this one.
func (ledger *Ledger) sound(trait Trait) *soundTraits {
	if _, isRequest := trait.(Fingerprint); isRequest {
		return &ledger.soundRequests
	}
	return &ledger.soundParts
}

// reassess finds the traits that explain the crashes, and returns what has changed. The
// caller holds the mutex.
func (ledger *Ledger) reassess(now time.Time) []Change {
	ledger.all = ledger.all.withoutOld(now)
	before := ledger.blamed
	ledger.blamed = assess(ledger.all.crashes, ledger.knownSoundness(now), ledger.isCommon)
	var changes []Change
	for _, trait := range slices.SortedFunc(maps.Keys(ledger.blamed), compareTraits) {
		next := ledger.blamed[trait]
		if next.isQuarantined() && !before[trait].isQuarantined() {
			changes = append(changes, Change{Trait: trait, IsQuarantined: true, Crashes: len(next.moments)})
		}
	}
	for _, trait := range slices.SortedFunc(maps.Keys(before), compareTraits) {
		if before[trait].isQuarantined() && !ledger.blamed[trait].isQuarantined() {
			changes = append(changes, Change{Trait: trait, Crashes: len(ledger.blamed[trait].moments)})
			delete(ledger.probes, trait)
		}
	}
	return changes
}

// knownSoundness returns a function that counts unproven answers as well. They decide
// between traits that are equally suspect, and show for the time being that a trait is
// sound: an answer that is recorded only at its end would come too late for that. The caller
// holds the mutex.
func (ledger *Ledger) knownSoundness(now time.Time) func(trait Trait) soundness {
	unproven := map[Trait]soundness{}
	for _, answer := range ledger.unproven {
		for _, trait := range answer.traits {
			next := unproven[trait]
			next.answers++
			if now.Sub(answer.beganAt) >= provisionalTime {
				next.lastBeganAt = waits.Later(next.lastBeganAt, answer.beganAt)
			}
			unproven[trait] = next
		}
	}
	return func(trait Trait) soundness {
		known := ledger.sound(trait).get(trait)
		known.answers += unproven[trait].answers
		known.lastBeganAt = waits.Later(known.lastBeganAt, unproven[trait].lastBeganAt)
		return known
	}
}

// Check returns the verdict on a request with the traits that is about to be sent.
func (ledger *Ledger) Check(traits []Trait, now time.Time) Verdict {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	verdict := Verdict{}
	for _, trait := range traits {
		blame := ledger.blamed[trait]
		if !blame.isQuarantined() {
			continue
		}
		retryAt := waits.Later(blame.probeAt().Add(ledger.probeDelay(trait)), ledger.probes[trait])
		if now.Before(retryAt) {
			return Verdict{Trait: trait, RetryAt: retryAt}
		}
		verdict = Verdict{Trait: trait, IsProbe: true}
	}
	if verdict.IsProbe {
		ledger.probes[verdict.Trait] = now.Add(probeTimeout)
	}
	return verdict
}

// probeDelay returns by how much later than the first entry this one may send a probe.
func (ledger *Ledger) probeDelay(trait Trait) time.Duration {
	turn := (uint64(ledger.position) + xxhash.Sum64String(trait.String())) % uint64(ledger.count)
	return time.Duration(turn) * min(probeSpacing, maxProbeSpread/time.Duration(ledger.count))
}

// MayRepeat reports whether a request that a crash cut off may be sent to another server.
// That needs less evidence than a quarantine: the request itself has just been cut off.
func (ledger *Ledger) MayRepeat(traits []Trait) bool {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return !slices.ContainsFunc(traits, func(trait Trait) bool { return len(ledger.blamed[trait].moments) >= minRepeatCrashes })
}

// Quarantined returns the number of parts and of requests that are quarantined.
func (ledger *Ledger) Quarantined() (parts, requests int) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	for trait, blame := range ledger.blamed {
		if !blame.isQuarantined() {
			continue
		}
		if _, isRequest := trait.(Fingerprint); isRequest {
			requests++
		} else {
			parts++
		}
	}
	return parts, requests
}

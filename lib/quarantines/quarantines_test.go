package quarantines

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// crash is a crash that cut off requests with the parts. Each has a server of its own.
func crash(seconds float64, parts ...string) Crash {
	return Crash{Server: fmt.Sprintf("i-%.3f", seconds), At: at(seconds), Traits: Parts(parts...)}
}

func records(crash Crash) Records {
	all, _ := Records{}.With(crash, crash.At)
	return all
}

func isRefused(ledger *Ledger, seconds float64, parts ...string) bool {
	return ledger.Check(Parts(parts...), at(seconds)).IsRefused()
}

// newLedgers returns the ledgers of so many entries.
func newLedgers(entries int) []*Ledger {
	var ledgers []*Ledger
	for position := range entries {
		ledger := New()
		ledger.SetEntries(position, entries)
		ledgers = append(ledgers, ledger)
	}
	return ledgers
}

// shareRecords passes the records of each entry on to all entries.
func shareRecords(ledgers []*Ledger, now time.Time) {
	for _, from := range ledgers {
		for _, to := range ledgers {
			to.Merge(from.Own(now), now)
		}
	}
}

// Guards against servers that crash one after the other under one part, at whichever
// entries the requests with it arrive.
func TestPartOfManyCrashesIsQuarantined(t *testing.T) {
	convey.Convey("Given crashes that several entries recorded, their common part is quarantined", t, func() {
		ledger := New()
		ledger.RecordOwn(crash(1, "common", "bad", "a"), at(1))
		convey.So(ledger.MayRepeat(Parts("bad")), convey.ShouldBeTrue)
		ledger.Merge(records(crash(1.2, "common", "bad", "b")), at(1.3))
		convey.So(isRefused(ledger, 1.3, "common", "bad"), convey.ShouldBeFalse)
		convey.So(ledger.MayRepeat(Parts("bad")), convey.ShouldBeFalse)
		ledger.RecordAnswer("s", Parts("common"), at(0.4), at(1.5))
		changes := ledger.Merge(records(crash(1.6, "common", "bad", "c")), at(1.7))
		convey.So(changes, convey.ShouldResemble, []Change{{Trait: Part("bad"), IsQuarantined: true, Crashes: 3}})
		convey.So(isRefused(ledger, 1.8, "common", "bad", "d"), convey.ShouldBeTrue)
		convey.So(isRefused(ledger, 1.8, "common", "a"), convey.ShouldBeFalse)
		convey.So(ledger.Check(Parts("bad"), at(1.8)).RetryAt, convey.ShouldHappenAfter, at(21))
	})
}

// Guards against sound requests that are refused because they were cut off together with
// the ones that crash servers, or by a fault that takes many servers at once.
func TestSoundPartsAreNotQuarantined(t *testing.T) {
	convey.Convey("Given a part with which servers answer, it is never blamed", t, func() {
		ledger := New()
		for second := range 20 {
			ledger.RecordAnswer("s", Parts("common"), at(float64(second)-0.5), at(float64(second)+0.5))
			ledger.RecordOwn(crash(float64(second)+0.8, "common"), at(float64(second)+0.9))
		}
		convey.So(isRefused(ledger, 21, "common"), convey.ShouldBeFalse)
		convey.So(ledger.MayRepeat(Parts("common")), convey.ShouldBeTrue)
	})
	convey.Convey("Given parts that were cut off with the bad one, they are not blamed for its crashes", t, func() {
		ledger := New()
		for i, other := range []string{"a", "b", "a", "b", "a", "b"} {
			ledger.RecordOwn(crash(float64(i), "common", "bad", other), at(float64(i)))
		}
		convey.So(isRefused(ledger, 6, "bad"), convey.ShouldBeTrue)
		convey.So(isRefused(ledger, 6, "a", "b"), convey.ShouldBeFalse)
		// Nothing tells the common part from the bad one until an answer begins with it.
		ledger.RecordAnswer("s", Parts("common"), at(6), at(7.1))
		convey.So(isRefused(ledger, 7.2, "common", "a"), convey.ShouldBeFalse)
		convey.So(isRefused(ledger, 7.2, "common", "bad"), convey.ShouldBeTrue)
	})
	convey.Convey("Given a part with which servers answered long ago, one that was never sound is blamed first", t, func() {
		ledger := New()
		ledger.RecordAnswer("s", Parts("common"), at(0), at(1))
		for i := range 3 {
			ledger.RecordOwn(crash(10+float64(i), "common", "bad"), at(10+float64(i)))
		}
		convey.So(isRefused(ledger, 13, "common"), convey.ShouldBeFalse)
		convey.So(isRefused(ledger, 13, "bad"), convey.ShouldBeTrue)
	})
	convey.Convey("Given a fault that takes many servers at once, nothing is quarantined", t, func() {
		ledger := New()
		for i := range 12 {
			ledger.RecordOwn(crash(1+float64(i)/1000, "common", "rare"), at(1.02))
		}
		convey.So(isRefused(ledger, 1.1, "common", "rare"), convey.ShouldBeFalse)
	})
	convey.Convey("Given many records of one crash, they count once", t, func() {
		ledger := New()
		for i := range 6 {
			ledger.Merge(records(Crash{Server: "i-1", At: at(1 + float64(i)/10), Traits: Parts("rare")}), at(2))
		}
		convey.So(ledger.MayRepeat(Parts("rare")), convey.ShouldBeTrue)
	})
}

// Guards against a bad part that counts as sound because a short answer was complete
// before its server crashed. Sound parts were quarantined in its place.
func TestShortAnswerBeforeCrashProvesNothing(t *testing.T) {
	convey.Convey("Given answers with the bad part whose servers crash shortly after them", t, func() {
		for _, isOwn := range []bool{true, false} {
			ledger := New()
			ledger.RecordAnswer("s", Parts("common"), at(0), at(1))
			for i := range 3 {
				second := 4 + float64(i)
				ended := crash(second, "common", "bad")
				ledger.RecordAnswer(ended.Server, Parts("common", "bad"), at(second-0.1), at(second-0.05))
				if isOwn {
					ledger.RecordOwn(ended, at(second))
				} else {
					ledger.Merge(records(ended), at(second))
				}
			}
			convey.So(isRefused(ledger, 8, "bad"), convey.ShouldBeTrue)
			convey.So(isRefused(ledger, 8, "common"), convey.ShouldBeFalse)
		}
	})
	convey.Convey("Given parts in all crashes that had answers before, the one with the fewest is blamed", t, func() {
		ledger := New()
		ledger.RecordAnswer("s", Parts("common", "bad"), at(0), at(1))
		ledger.RecordAnswer("s", Parts("common"), at(0.5), at(2))
		for i := range minSoundCrashes {
			ledger.RecordOwn(crash(4+float64(i), "common", "bad"), at(4+float64(i)))
		}
		convey.So(isRefused(ledger, 4+minSoundCrashes, "bad"), convey.ShouldBeTrue)
		convey.So(isRefused(ledger, 4+minSoundCrashes, "common"), convey.ShouldBeFalse)
	})
}

// Guards against a quarantine of the part that nearly all prompts share, while no server
// answers: it is in each crash, also in those with another cause than the bad part.
func TestSharedPartIsNotBlamedDuringOutage(t *testing.T) {
	convey.Convey("Given crashes under the bad part and others, and no answer for some seconds", t, func() {
		veteran, fresh := New(), New()
		veteran.RecordAnswer("s", Parts("common"), at(0), at(1))
		for i, parts := range [][]Trait{Parts("common"), Parts("common", "bad"), Parts("common"), Parts("common", "bad"), Parts("common", "bad")} {
			second := 5 + float64(i)
			// The record of a sound request comes first.
			veteran.RecordOwn(Crash{Server: fmt.Sprint(i), At: at(second), Traits: Parts("common")}, at(second))
			veteran.RecordOwn(Crash{Server: fmt.Sprint(i), At: at(second), Traits: parts}, at(second))
			convey.So(isRefused(veteran, second, "common"), convey.ShouldBeFalse)
			fresh.Merge(veteran.Own(at(second)), at(second))
			convey.So(isRefused(fresh, second, "common"), convey.ShouldBeFalse)
		}
		convey.So(isRefused(veteran, 10, "common", "bad"), convey.ShouldBeTrue)
		convey.So(isRefused(fresh, 10, "common", "bad"), convey.ShouldBeTrue)
	})
}

// Guards against an entry that has just started and refuses all requests, because the part
// that they share is in all crashes and no answer has begun yet.
func TestCommonPartIsNotBlamed(t *testing.T) {
	convey.Convey("Given an entry that has seen crashes and no answer", t, func() {
		ledger := New()
		for i := range 6 {
			ledger.CountRequest(Parts("common", fmt.Sprintf("document-%d", i)))
			ledger.CountRequest(Parts("common", "bad"))
			ledger.CountRequest(Parts("common", "another"))
		}
		for i, parts := range [][]string{{"common"}, {"common", "bad"}, {"common"}, {"common", "bad"}, {"common", "bad"}} {
			ledger.RecordOwn(crash(float64(i), parts...), at(float64(i)))
		}
		convey.So(isRefused(ledger, 5, "common", "another"), convey.ShouldBeFalse)
		convey.So(isRefused(ledger, 5, "common", "bad"), convey.ShouldBeTrue)
	})
	convey.Convey("Given many requests, older ones count less", t, func() {
		ledger := New()
		for range 10 * countedRequests {
			ledger.CountRequest(Parts("old"))
		}
		for range 2 * countedRequests {
			ledger.CountRequest(Parts("new"))
		}
		convey.So(ledger.isCommon(Part("old")), convey.ShouldBeFalse)
		convey.So(ledger.isCommon(Part("new")), convey.ShouldBeTrue)
		convey.So(ledger.requests, convey.ShouldBeLessThanOrEqualTo, countedRequests)
	})
}

// Guards against a part that may crash servers for ever because they answered with it once.
func TestPartThatTurnsBadIsQuarantined(t *testing.T) {
	convey.Convey("Given a part with an answer, and many crashes under it since", t, func() {
		ledger := New()
		ledger.RecordAnswer("s", Parts("common", "turned"), at(0), at(1))
		for i := range 20 {
			second := 5 + float64(i)/2
			ledger.RecordAnswer("s", Parts("common"), at(second-1), at(second))
			ledger.RecordOwn(crash(second, "common", "turned"), at(second))
		}
		convey.So(isRefused(ledger, 15, "turned"), convey.ShouldBeTrue)
		convey.So(isRefused(ledger, 15, "common"), convey.ShouldBeFalse)
	})
}

// Guards against an entry that refuses sound requests, because only other entries have
// seen answers with their parts.
func TestSoundPartsAreShared(t *testing.T) {
	convey.Convey("Given an entry that saw crashes only, and one that saw answers", t, func() {
		blind, informed := New(), New()
		for i := range 3 {
			blind.RecordOwn(crash(float64(i), "common", "bad"), at(float64(i)))
		}
		convey.So(isRefused(blind, 3, "common"), convey.ShouldBeTrue)
		informed.RecordAnswer("s", Parts("common"), at(1.5), at(3))
		convey.So(informed.Own(at(3)).IsEmpty(), convey.ShouldBeTrue)
		informed.Merge(blind.Own(at(3)), at(3))
		blind.Merge(informed.Own(at(3.1)), at(3.2))
		convey.So(isRefused(blind, 3.3, "common"), convey.ShouldBeFalse)
		convey.So(isRefused(blind, 3.3, "common", "bad"), convey.ShouldBeTrue)
	})
}

// Guards against records without end, which would fill the memory and the datagrams.
func TestRecordsAreBounded(t *testing.T) {
	convey.Convey("Given more crashes, parts and answers than are remembered", t, func() {
		all := Records{}
		for i := range 4 * maxCrashes {
			all, _ = all.With(Crash{Server: fmt.Sprint(i), At: at(float64(i) / 1000), Traits: Parts(fmt.Sprint(i))}, at(10))
			all, _ = all.With(Crash{Server: "one", At: at(9), Traits: Parts(fmt.Sprint(i))}, at(10))
			all, _ = all.WithAnswer(Answer{Trait: Part(fmt.Sprint(i)), BeganAt: at(9)}, at(10))
		}
		convey.So(len(all.Crashes()), convey.ShouldEqual, maxCrashes)
		convey.So(len(all.Crashes()[maxCrashes-1].Traits), convey.ShouldEqual, maxCrashTraits)
		convey.So(len(all.Answers()), convey.ShouldEqual, maxAnswers)
		recent := all.Recent(at(10))
		convey.So(len(recent.Crashes()), convey.ShouldEqual, 1)
		convey.So(recent.Answers(), convey.ShouldBeEmpty)
		for _, part := range recent.Crashes()[0].Traits {
			all, _ = all.WithAnswer(Answer{Trait: part, BeganAt: at(9.5)}, at(10))
		}
		convey.So(len(all.Recent(at(10)).Answers()), convey.ShouldEqual, maxSharedAnswers)
	})
	convey.Convey("Given a record from the future, it counts from now", t, func() {
		all, _ := Records{}.With(Crash{Server: "i", At: at(100), Traits: Parts("a")}, at(1))
		convey.So(all.Crashes()[0].At, convey.ShouldEqual, at(1))
	})
}

// Guards against a part that stays quarantined although servers bear it again, and
// against entries that all try that at the same time.
func TestQuarantineIsProbed(t *testing.T) {
	const entries = 5
	quarantined := func(position int) *Ledger {
		ledger := New()
		ledger.SetEntries(position, entries)
		for i := range 3 {
			ledger.Merge(records(crash(float64(i), "bad")), at(float64(i)))
		}
		return ledger
	}
	convey.Convey("Given several entries, they let one request through after the other", t, func() {
		var firsts []time.Time
		for position := range entries {
			firsts = append(firsts, quarantined(position).Check(Parts("bad"), at(3)).RetryAt)
		}
		for i, left := range firsts {
			convey.So(left, convey.ShouldHappenOnOrAfter, at(22))
			for _, right := range firsts[:i] {
				convey.So(left.Sub(right).Abs(), convey.ShouldBeGreaterThanOrEqualTo, 2*time.Second)
			}
		}
	})
	convey.Convey("Given a probe under way, no other request is let through", t, func() {
		ledger := quarantined(0)
		verdict := ledger.Check(Parts("bad"), at(75))
		convey.So(verdict.IsProbe, convey.ShouldBeTrue)
		convey.So(isRefused(ledger, 75.1, "bad"), convey.ShouldBeTrue)
		convey.So(ledger.MayRepeat(Parts("bad")), convey.ShouldBeFalse)
	})
	convey.Convey("Given a probe that crashed a server, the next one comes after twice the time", t, func() {
		ledger := quarantined(0)
		ledger.Merge(records(crash(70, "bad")), at(71))
		convey.So(isRefused(ledger, 70+39, "bad"), convey.ShouldBeTrue)
		convey.So(ledger.Check(Parts("bad"), at(70+40+10)).IsProbe, convey.ShouldBeTrue)
	})
	convey.Convey("Given a probe that was answered, the quarantine ends", t, func() {
		ledger := quarantined(0)
		changes := ledger.RecordAnswer("s", Parts("bad"), at(75), at(76))
		convey.So(changes, convey.ShouldResemble, []Change{{Trait: Part("bad")}})
		convey.So(isRefused(ledger, 76, "bad"), convey.ShouldBeFalse)
	})
}

// TestQuarantineRules guards, for random crashes and answers at several entries that hear
// each other's records, that no more than a few requests with a bad part are sent after
// its fifth crash, and that hardly any sound one is refused. The bad ones begin at once,
// when nobody knows a sound part yet.
func TestQuarantineRules(t *testing.T) {
	rapid.Check(t, func(random *rapid.T) {
		const entries, step, steps, delay, allowed = 4, 50 * time.Millisecond, 1200, 6, 3
		ledgers := newLedgers(entries)
		type running struct {
			entry, until int
			parts        []Trait
			crashes      bool
		}
		var active []running
		crashes, sentAfter, refused := 0, 0, 0
		var fifth time.Time
		interval := rapid.IntRange(1, 10).Draw(random, "steps between bad requests")
		for i := range steps {
			now := start.Add(time.Duration(i) * step)
			sound := Parts("common", fmt.Sprintf("document-%d", rapid.IntRange(0, 30).Draw(random, "document")))
			entry := rapid.IntRange(0, entries-1).Draw(random, "entry")
			ledgers[entry].CountRequest(sound)
			if ledgers[entry].Check(sound, now).IsRefused() {
				refused++
			}
			active = append(active, running{entry: entry, until: i + delay, parts: sound})
			if i%interval == 0 {
				parts := []Trait{Part("common"), Part("bad"), sound[1]}
				other := rapid.IntRange(0, entries-1).Draw(random, "entry of the bad one")
				ledgers[other].CountRequest(parts)
				if !ledgers[other].Check(parts, now).IsRefused() {
					active = append(active, running{entry: other, until: i + delay, parts: parts, crashes: true})
					if !fifth.IsZero() && now.After(fifth.Add(3*time.Second)) {
						sentAfter++
					}
				}
			}
			var rest []running
			for _, each := range active {
				switch {
				case each.until > i:
					rest = append(rest, each)
				case each.crashes:
					crashes++
					if crashes == 5 {
						fifth = now
					}
					ledgers[each.entry].RecordOwn(Crash{Server: fmt.Sprintf("i-%d-%d", i, each.entry), At: now, Traits: each.parts}, now)
				default:
					ledgers[each.entry].RecordAnswer("s", each.parts, now.Add(-delay*step), now)
				}
			}
			active = rest
			if i%4 == 0 {
				shareRecords(ledgers, now)
			}
		}
		if sentAfter > allowed {
			random.Fatalf("%d requests with the bad part were sent 3 s after its fifth crash", sentAfter)
		}
		if refused > steps/20 {
			random.Fatalf("%d of %d sound requests were refused", refused, steps)
		}
		if ledgers[0].Check(Parts("common", "document-1"), start.Add(steps*step)).IsRefused() {
			random.Fatalf("a sound part is refused at the end")
		}
	})
}

// Guards against a request that comes again under other ids and crashes each server that
// runs it, and against blaming what was cut off with it.
func TestRequestOfManyCrashesIsQuarantined(t *testing.T) {
	const bad = Fingerprint(0xbad)
	crashOf := func(seconds float64, traits ...Trait) Crash {
		return Crash{Server: fmt.Sprintf("i-%.3f", seconds), At: at(seconds), Traits: traits}
	}
	convey.Convey("Given crashes under one request at several entries, it is quarantined and no other one", t, func() {
		ledger := New()
		ledger.RecordOwn(crashOf(1, bad, Fingerprint(1)), at(1))
		convey.So(ledger.MayRepeat([]Trait{bad}), convey.ShouldBeTrue)
		ledger.Merge(records(crashOf(1.2, bad, Fingerprint(2))), at(1.3))
		convey.So(ledger.MayRepeat([]Trait{bad}), convey.ShouldBeFalse)
		changes := ledger.Merge(records(crashOf(1.6, Fingerprint(3), bad)), at(1.7))
		convey.So(changes, convey.ShouldResemble, []Change{{Trait: bad, IsQuarantined: true, Crashes: 3}})
		for other := range Fingerprint(4) {
			convey.So(ledger.Check([]Trait{other}, at(2)).IsRefused(), convey.ShouldBeFalse)
		}
		verdict := ledger.Check([]Trait{bad}, at(2))
		convey.So(verdict.IsRefused(), convey.ShouldBeTrue)
		convey.So(verdict.RetryAt, convey.ShouldHappenOnOrAfter, at(21.6))
		parts, requests := ledger.Quarantined()
		convey.So([]int{parts, requests}, convey.ShouldResemble, []int{0, 1})
	})
	convey.Convey("Given a bad request with a part that no answer began with, other requests with the part are served", t, func() {
		ledger := New()
		for i := range 3 {
			ledger.RecordOwn(crashOf(float64(i), bad, Part("rare")), at(float64(i)))
		}
		convey.So(ledger.Check([]Trait{Fingerprint(1), Part("rare")}, at(3)).IsRefused(), convey.ShouldBeFalse)
		convey.So(ledger.Check([]Trait{bad, Part("rare")}, at(3)).IsRefused(), convey.ShouldBeTrue)
	})
	convey.Convey("Given a bad part in requests that each were sent twice, the part is quarantined", t, func() {
		ledger := New()
		for i := range 4 {
			ledger.RecordOwn(crashOf(float64(i), Fingerprint(i/2), Part("bad")), at(float64(i)))
		}
		convey.So(ledger.Check([]Trait{Fingerprint(9), Part("bad")}, at(4)).IsRefused(), convey.ShouldBeTrue)
	})
	convey.Convey("Given a request that callers repeat all the time, crashes of other requests are not held against it", t, func() {
		ledger := New()
		ledger.RecordAnswer("s", []Trait{Fingerprint(1)}, at(0), at(1))
		for i := range minSoundCrashes - 1 {
			second := 4 + 3*float64(i)
			ledger.RecordOwn(crashOf(second, bad, Fingerprint(1)), at(second))
		}
		convey.So(ledger.Check([]Trait{bad}, at(25)).IsRefused(), convey.ShouldBeTrue)
		convey.So(ledger.Check([]Trait{Fingerprint(1)}, at(25)).IsRefused(), convey.ShouldBeFalse)
	})
	convey.Convey("Given answers to many requests, the parts that are sound are still known", t, func() {
		ledger := New()
		ledger.RecordAnswer("s", Parts("common"), at(0), at(1))
		for i := range Fingerprint(2 * maxSoundTraits) {
			ledger.RecordAnswer("s", []Trait{i}, at(1), at(2.1))
		}
		convey.So(ledger.sound(Part("common")).get(Part("common")).answers, convey.ShouldEqual, 1)
		convey.So(len(ledger.soundRequests.recent)+len(ledger.soundRequests.former), convey.ShouldBeLessThanOrEqualTo, maxSoundTraits)
	})
}

// TestRequestQuarantineRules guards a fleet in use against a request that crashes servers.
func TestRequestQuarantineRules(t *testing.T) {
	const minServers, warmUp = 3, 3 * time.Second
	checkRequestQuarantines(t, minServers, warmUp)
}

// TestRequestQuarantineRulesFromTheStart guards a fleet that has just started as well, in
// which no answer has shown yet which requests are sound, and one with two servers.
func TestRequestQuarantineRulesFromTheStart(t *testing.T) {
	const minServers, warmUp = 2, 0
	checkRequestQuarantines(t, minServers, warmUp)
}

// checkRequestQuarantines checks, for random arrivals at several entries that hear each
// other's records, that a bad request reaches servers no more than three times later than
// 3 s after its third crash, and that sound requests, new ones and such that callers repeat
// all the time, are hardly ever refused. The bad one comes after the warm-up. Servers also
// crash without a cause.
func checkRequestQuarantines(t *testing.T, minServers int, warmUp time.Duration) {
	rapid.Check(t, func(random *rapid.T) {
		const entries, step, steps, delay, allowed, bad = 4, 50 * time.Millisecond, 1200, 2, 3, Fingerprint(0xbad)
		const uncausedCrashInterval = 300 // steps, on average
		ledgers := newLedgers(entries)
		type running struct {
			entry, server, until int
			traits               []Trait
		}
		var active []running
		servers := rapid.IntRange(minServers, 12).Draw(random, "servers")
		interval := rapid.IntRange(1, 10).Draw(random, "steps between bad requests")
		// Draws of rapid prefer small numbers, with which servers would crash all the time.
		chance := rand.New(rand.NewPCG(rapid.Uint64().Draw(random, "seed"), 0))
		crashes, sentAfter, refused := 0, 0, 0
		var third time.Time
		down := map[int]int{}
		send := func(i int, trait Trait) (isRefused bool) {
			now := start.Add(time.Duration(i) * step)
			entry := chance.IntN(entries)
			server := chance.IntN(servers)
			traits := []Trait{Part("common"), trait}
			ledgers[entry].CountRequest(traits)
			if ledgers[entry].Check(traits, now).IsRefused() {
				return true
			}
			if i < down[server] {
				return false
			}
			if trait == bad && !third.IsZero() && now.After(third.Add(3*time.Second)) {
				sentAfter++
			}
			active = append(active, running{entry: entry, server: server, until: i + delay, traits: traits})
			return false
		}
		for i := range steps {
			now := start.Add(time.Duration(i) * step)
			for _, trait := range []Trait{Fingerprint(1_000 + i), Fingerprint(1 + chance.IntN(3))} {
				if send(i, trait) {
					refused++
				}
			}
			if now.Sub(start) >= warmUp && i%interval == 0 {
				send(i, bad)
			}
			crashed := map[int]bool{}
			if chance.IntN(uncausedCrashInterval) == 0 {
				crashed[chance.IntN(servers)] = true
			}
			for _, each := range active {
				if each.until == i && each.traits[1] == bad {
					crashed[each.server] = true
					if crashes++; crashes == 3 {
						third = now
					}
				}
			}
			var rest []running
			for _, each := range active {
				switch {
				case crashed[each.server]:
					down[each.server] = i + 40
					ledgers[each.entry].RecordOwn(Crash{Server: fmt.Sprintf("i-%d-%d", each.server, i), At: now, Traits: each.traits}, now)
				case each.until == i:
					ledgers[each.entry].RecordAnswer(fmt.Sprint(each.server), each.traits, now, now)
				default:
					rest = append(rest, each)
				}
			}
			active = rest
			if i%4 == 0 {
				shareRecords(ledgers, now)
			}
		}
		if sentAfter > allowed {
			random.Fatalf("the bad request was sent %d times later than 3 s after its third crash", sentAfter)
		}
		if refused > steps/20 {
			random.Fatalf("%d of %d sound requests were refused", refused, 2*steps)
		}
	})
}

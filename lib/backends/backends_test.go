package backends

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"firford/lib/configurations"
	_ "firford/lib/fixedseed"
	"firford/lib/hosts"
)

var testTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func agents(count int, centre, region string) []hosts.Host {
	var list []hosts.Host
	for index := range count {
		list = append(list, hosts.Host{
			Name: fmt.Sprintf("%s-%03d", centre, index), Role: hosts.RoleAgent,
			Deployment: "plant", DataCentre: centre, Region: region,
		})
	}
	return list
}

func noneSuspected(string) bool { return false }

func names(list []hosts.Host) []string {
	var all []string
	for _, host := range list {
		all = append(all, host.Name)
	}
	return all
}

// Guards against a selection that deviates from the proportions in clause 4A.2 of
// 3GPP C4-141319: a candidate with twice the effective available load must get
// twice the requests.
func TestAvailableLoadProportions(t *testing.T) {
	convey.Convey("Given candidates with 75%, 50% and no available load", t, func() {
		candidates := []Candidate{
			{Name: "a", Slots: 16, ReportedLoad: 4},
			{Name: "b", Slots: 8, ReportedLoad: 2},
			{Name: "c", Slots: 8, ReportedLoad: 9},
		}
		source := rand.New(rand.NewPCG(1, 2))
		counts := make([]int, len(candidates))
		for turn := range 30000 {
			counts[Choose(AvailableLoad{}, candidates, uint64(turn), source)]++
		}
		convey.So(counts[2], convey.ShouldEqual, 0)
		convey.So(float64(counts[0])/float64(counts[1]), convey.ShouldAlmostEqual, 2, 0.1)
	})
}

// Guards against a policy that prefers the agent with the higher load, or that
// counts the entry's own requests twice when the load report includes them.
func TestTwoChoicesByLoad(t *testing.T) {
	convey.Convey("The entry's requests in flight at the report are replaced by those in flight now", t, func() {
		candidates := []Candidate{
			{Name: "a", Slots: 8, InFlight: 1, ReportedLoad: 6, InFlightAtReport: 6},
			{Name: "b", Slots: 8, InFlight: 1, ReportedLoad: 6, InFlightAtReport: 1},
		}
		source := rand.New(rand.NewPCG(1, 2))
		for turn := range 100 {
			convey.So(Choose(TwoChoicesByLoad{}, candidates, uint64(turn), source), convey.ShouldEqual, 0)
		}
	})
}

// Guards against a policy that returns an index out of range.
func TestChooseReturnsValidIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Candidate {
			number := rapid.IntRange(0, 100)
			return Candidate{Slots: number.Draw(t, "slots"), InFlight: number.Draw(t, "own"), ReportedLoad: number.Draw(t, "reported"), InFlightAtReport: number.Draw(t, "then")}
		}), 0, 30).Draw(t, "candidates")
		source := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for _, policy := range Policies() {
			index := Choose(policy, candidates, rapid.Uint64().Draw(t, "turn"), source)
			if len(candidates) == 0 && index != -1 || len(candidates) > 0 && (index < 0 || index >= len(candidates)) {
				t.Fatalf("%s chose %d of %d", policy, index, len(candidates))
			}
		}
	})
}

// Guards against a subset that ignores the spill setting, takes hosts of
// another deployment or role, or includes one that is leaving.
func TestSubsetFollowsSpill(t *testing.T) {
	convey.Convey("Given 5 agents in the entry's data centre, 10 elsewhere in its region and 30 in other regions", t, func() {
		self := hosts.Host{Name: "entry-1", DataCentre: "nairobi", Region: "kenya"}
		all := slices.Concat(agents(5, "nairobi", "kenya"), agents(10, "mombasa", "kenya"), agents(30, "lima", "peru"))
		all[0].Leaving = true
		all[1].Role = hosts.RoleEntry
		all[2].Deployment = "other"
		size := func(spill string) int { return len(Subset(self, "plant", spill, all, noneSuspected)) }
		convey.So(size(configurations.SpillDataCentre), convey.ShouldEqual, 2)
		convey.So(size(configurations.SpillRegion), convey.ShouldEqual, 12)
		convey.So(size(configurations.SpillAnywhere), convey.ShouldEqual, SubsetSize)
		convey.So(Subset(self, "plant", configurations.SpillAnywhere, all, noneSuspected)[0].DataCentre, convey.ShouldEqual, "nairobi")
	})
}

// Guards against subsets that replace links to hosts that are still there when
// other hosts leave, and against agents with far more links than others.
func TestSubsetsStayBalanced(t *testing.T) {
	convey.Convey("Given 350 entries in front of 940 agents", t, func() {
		all := agents(940, "nairobi", "kenya")
		counts := map[string]int{}
		moved := 0
		for index := range 350 {
			self := hosts.Host{Name: fmt.Sprintf("entry-%d", index), DataCentre: "nairobi"}
			before := names(Subset(self, "plant", "", all, noneSuspected))
			after := names(Subset(self, "plant", "", all[10:], noneSuspected))
			for _, name := range before {
				counts[name]++
				if !slices.Contains(after, name) {
					moved++
				}
			}
		}
		most := 0
		for _, count := range counts {
			most = max(most, count)
		}
		convey.Convey("the most loaded agent has at most three times the mean of 7.4 links", func() {
			convey.So(most, convey.ShouldBeLessThanOrEqualTo, 22)
		})
		convey.Convey("the loss of 10 agents replaces only the links to them", func() {
			lost := 0
			for _, host := range all[:10] {
				lost += counts[host.Name]
			}
			convey.So(moved, convey.ShouldEqual, lost)
		})
	})
}

// Guards against replacing a whole subset when the entry's own network has
// failed, and against never replacing the agents of a data centre that is lost.
func TestSuspectedAgents(t *testing.T) {
	convey.Convey("Given a subset of 12 agents", t, func() {
		subset := func(silent int, ago time.Duration) []ObservedAgent {
			var list []ObservedAgent
			for index, host := range agents(12, "nairobi", "kenya") {
				lastMessageAt := testTime
				if index < silent {
					lastMessageAt = testTime.Add(-ago)
				}
				list = append(list, ObservedAgent{Host: host, Observation: hosts.Observation{}.WithMessage(lastMessageAt)})
			}
			return list
		}
		convey.So(len(SuspectedAgents(subset(3, 4*time.Second), testTime)), convey.ShouldEqual, 3)
		convey.So(len(SuspectedAgents(subset(6, 4*time.Second), testTime)), convey.ShouldEqual, 0)
		convey.So(len(SuspectedAgents(subset(6, time.Minute), testTime)), convey.ShouldEqual, 6)
		convey.So(len(SuspectedAgents(subset(12, 4*time.Second), testTime)), convey.ShouldEqual, 12)
		convey.Convey("suspected agents stay in the subset, and others are added in their place", func() {
			all := agents(60, "nairobi", "kenya")
			self := hosts.Host{Name: "entry-1", DataCentre: "nairobi"}
			chosen := Subset(self, "plant", "", all, noneSuspected)
			suspect := chosen[3].Name
			wider := Subset(self, "plant", "", all, func(name string) bool { return name == suspect })
			convey.So(len(wider), convey.ShouldEqual, SubsetSize+1)
			convey.So(names(wider), convey.ShouldContain, suspect)
			convey.So(len(Subset(self, "plant", "", all, func(string) bool { return true })), convey.ShouldEqual, maxSubset)
		})
	})
}

// Guards against retries that multiply the load during an outage.
func TestRetryBudget(t *testing.T) {
	convey.Convey("1000 requests allow retries for at most 10% of them, plus the initial retries", t, func() {
		budget, retries := NewRetryBudget(), 0
		for range 1000 {
			budget = budget.WithRequest()
			var allowed bool
			if budget, allowed = budget.WithRetry(); allowed {
				retries++
			}
		}
		convey.So(retries, convey.ShouldBeBetweenOrEqual, 100, 100+initialRetries)
	})
}

// Guards against entries that together exceed an organisation's limit, and against
// a refusal with a retry time that has already passed.
func TestTokenBucketEnforcesLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := float64(rapid.IntRange(1, 500).Draw(t, "limit"))
		entries := rapid.IntRange(1, 50).Draw(t, "entries")
		share := NewLimitShare(limit, 0, entries)
		bucket, now, passed := TokenBucket{}, testTime, 0
		for range 500 {
			var allowed bool
			var retryAt time.Time
			if bucket, allowed, retryAt = bucket.Take(share, now); allowed {
				passed++
			} else if !retryAt.After(now) {
				t.Fatalf("refused at %v with the retry time %v", now, retryAt)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond)
		}
		most := float64(share.Burst) + now.Sub(testTime).Seconds()*limit/float64(entries)
		if float64(passed) > most+1 {
			t.Fatalf("%d requests passed, at most %.1f are allowed", passed, most)
		}
	})
}

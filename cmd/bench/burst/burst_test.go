package burst

import (
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/smartystreets/goconvey/convey"

	"firford/lib/hosts"
)

func testPlan(faults, strategy string, count int) plan {
	command := &PlanCommand{
		Hosts: count, Faults: faults, Strategy: strategy, Policy: "less_time", Seed: 7,
		Chunks: 20, ChunkBytes: 100, W: 10 * time.Second, Neighbours: 8, Port: 12000,
	}
	return command.buildPlan()
}

// Guards against a plan whose link rates or faults differ from those that the
// table names.
func TestPlan(t *testing.T) {
	convey.Convey("The origin's link carries four copies in W and a host's link two", t, func() {
		plan := testPlan(faultsNone, strategySwarm, 12)
		convey.So(plan.OriginRate, convey.ShouldEqual, 4*20*100/10)
		convey.So(plan.HostRate, convey.ShouldEqual, 2*20*100/10)
		convey.So(plan.idealSeconds(), convey.ShouldEqual, 5)
		convey.So(plan.Losses, convey.ShouldBeEmpty)
	})
	convey.Convey("With faults one host in ten is lost and three links between survivors are stalled", t, func() {
		plan := testPlan(faultsSome, strategySwarm, 60)
		lost := plan.lostHosts()
		convey.So(len(lost), convey.ShouldEqual, 6)
		convey.So(len(plan.StalledPeers), convey.ShouldEqual, stalledLinks)
		for sender, receiver := range plan.StalledPeers {
			convey.So(lost[sender], convey.ShouldBeFalse)
			convey.So(receiver, convey.ShouldNotEqual, sender)
		}
		for _, each := range plan.Losses {
			convey.So(each.AfterS, convey.ShouldBeBetween, 0, plan.idealSeconds())
		}
	})
	convey.Convey("Unknown faults are rejected", t, func() {
		convey.So((&PlanCommand{Faults: "many", Strategy: strategySwarm, Policy: "less_time"}).validate(), convey.ShouldNotBeNil)
	})
}

// Guards against a tree baseline with missing or one-way links, which would
// make the tree slower, and the swarm look better than it is.
func TestTreeIsSymmetric(t *testing.T) {
	convey.Convey("In a tree, parent and children are neighbours of each other, and only the root reads from the origin", t, func() {
		plan := testPlan(faultsNone, strategyTree, 7)
		topology := plan.topology()
		edges := 0
		for index, host := range plan.Hosts {
			neighbours := topology.Neighbours(host.Name, plan.Hosts, 0)
			edges += len(neighbours)
			for _, other := range neighbours {
				reverse := topology.Neighbours(other.Name, plan.Hosts, 0)
				convey.So(hosts.Select(reverse, func(each hosts.Host) bool { return each.Name == host.Name }), convey.ShouldHaveLength, 1)
			}
			rank := topology.Rank(plan.Manifests[versionNew].Chunks[0], host.Name, plan.Hosts)
			convey.So(rank == 0, convey.ShouldEqual, index == 0)
		}
		convey.So(edges, convey.ShouldEqual, 2*6)
	})
}

// Guards against a comparison that shows a change with the wrong sign.
func TestCompare(t *testing.T) {
	before := result{Strategy: strategySwarm, Hosts: 60, Faults: faultsNone, TimeRatio: 1.2, OriginCopies: 1, AllS: 18, Complete: 60}
	after := before
	after.TimeRatio, after.AllS = 1.05, 15.75
	var text strings.Builder
	for _, row := range compareRows(before, after) {
		text.WriteString(strings.Join(row, " ") + "\n")
	}
	goldie.New(t).Assert(t, "compare", []byte(text.String()))
}

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
	return command.make()
}

// Guards against figures that belong to another link model or other faults
// than the table says.
func TestPlan(t *testing.T) {
	convey.Convey("In W the origin's link carries four copies and a host's link two", t, func() {
		made := testPlan(faultsNone, strategySwarm, 12)
		convey.So(made.OriginRate, convey.ShouldEqual, 4*20*100/10)
		convey.So(made.HostRate, convey.ShouldEqual, 2*20*100/10)
		convey.So(made.limit(), convey.ShouldEqual, 5)
		convey.So(made.Losses, convey.ShouldBeEmpty)
	})
	convey.Convey("With faults one host in ten is lost and three links between survivors are stalled", t, func() {
		made := testPlan(faultsSome, strategySwarm, 60)
		lost := made.lost()
		convey.So(len(lost), convey.ShouldEqual, 6)
		convey.So(len(made.Stalls), convey.ShouldEqual, stalledLinks)
		for sender, receiver := range made.Stalls {
			convey.So(lost[sender], convey.ShouldBeFalse)
			convey.So(receiver, convey.ShouldNotEqual, sender)
		}
		for _, each := range made.Losses {
			convey.So(each.AfterS, convey.ShouldBeBetween, 0, made.limit())
		}
	})
	convey.Convey("Unknown faults and strategies are refused", t, func() {
		convey.So((&PlanCommand{Faults: "many", Strategy: strategySwarm, Policy: "less_time"}).check(), convey.ShouldNotBeNil)
	})
}

// Guards against a baseline that is worse than what its name says.
func TestTreeIsSymmetric(t *testing.T) {
	convey.Convey("In a tree, parent and children know each other, and only the root reads the origin", t, func() {
		made := testPlan(faultsNone, strategyTree, 7)
		layout := made.layout()
		edges := 0
		for at, host := range made.Hosts {
			near := layout.Neighbours(host.Name, made.Hosts, 0)
			edges += len(near)
			for _, other := range near {
				back := layout.Neighbours(other.Name, made.Hosts, 0)
				convey.So(hosts.Select(back, func(each hosts.Host) bool { return each.Name == host.Name }), convey.ShouldHaveLength, 1)
			}
			rank := layout.Rank(made.Manifests[versionNew].Chunks[0], host.Name, made.Hosts)
			convey.So(rank == 0, convey.ShouldEqual, at == 0)
		}
		convey.So(edges, convey.ShouldEqual, 2*6)
	})
}

// Guards against a comparison that shows the wrong direction of a change.
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

package requests

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"firford/lib/backends"
	"firford/lib/hosts"
	"firford/lib/links"
)

// stubPeer is a connection on which nothing happens.
type stubPeer struct {
	identity links.Identity
	once     sync.Once
	ended    chan struct{}
}

func newStubPeer(name, incarnation string) *stubPeer {
	return &stubPeer{identity: links.Identity{Name: name, Incarnation: incarnation}, ended: make(chan struct{})}
}

func (peer *stubPeer) Call(ctx context.Context, _ string, _, _ any) error {
	<-ctx.Done()
	return ctx.Err()
}
func (peer *stubPeer) Notify(string, any) error { return nil }
func (peer *stubPeer) Done() <-chan struct{}    { return peer.ended }
func (peer *stubPeer) Peer() links.Identity     { return peer.identity }
func (peer *stubPeer) Close()                   { peer.once.Do(func() { close(peer.ended) }) }

func servingState(incarnation string) AgentState {
	return AgentState{Incarnation: incarnation, Deployment: "plant", Version: "v1", State: StateServing, Slots: 8}
}

// Guards against new work for an agent that is leaving, draining, loading,
// silent or restarted, and against cutting off what runs on a leaving one.
func TestWhichAgentsGetWork(t *testing.T) {
	convey.Convey("Given one serving agent", t, func() {
		var kept []hosts.Host
		agents := newAgents(hosts.Host{Name: "entry-1"}, backends.RoundRobin{})
		agents.keep = func(wanted []hosts.Host) { kept = wanted }
		member := hosts.Host{Name: "a", Role: hosts.RoleAgent, Deployment: "plant", Address: "x"}
		agents.Update([]hosts.Host{member}, testSnapshot())
		peer := newStubPeer("a", "i1")
		agents.opened("a", peer)
		convey.So(agents.CountServing("plant"), convey.ShouldEqual, 0)
		agents.stated(peer, servingState("i1"))
		convey.So(agents.CountServing("plant"), convey.ShouldEqual, 1)
		convey.Convey("a state of another incarnation is ignored", func() {
			other := servingState("i0")
			other.State = StateLoading
			agents.stated(peer, other)
			convey.So(agents.CountServing("plant"), convey.ShouldEqual, 1)
		})
		convey.Convey("a draining or loading one gets nothing", func() {
			for _, name := range []string{StateDraining, StateLoading} {
				state := servingState("i1")
				state.State = name
				agents.stated(peer, state)
				convey.So(agents.CountServing("plant"), convey.ShouldEqual, 0)
			}
		})
		convey.Convey("a leaving one gets nothing, and its link stays while a request runs there", func() {
			held, found := agents.pick("plant", "", nil, time.Now())
			convey.So(found, convey.ShouldBeTrue)
			leaving := member
			leaving.Leaving = true
			agents.Update([]hosts.Host{leaving}, testSnapshot())
			convey.So(agents.CountServing("plant"), convey.ShouldEqual, 0)
			convey.So(len(kept), convey.ShouldEqual, 1)
			held.release()
			agents.Update([]hosts.Host{leaving}, testSnapshot())
			convey.So(len(kept), convey.ShouldEqual, 0)
		})
		convey.Convey("one whose link has ended gets nothing until it has stated its state anew", func() {
			peer.Close()
			for agents.CountServing("plant") != 0 {
				time.Sleep(time.Millisecond)
			}
			again := newStubPeer("a", "i2")
			agents.opened("a", again)
			convey.So(agents.CountServing("plant"), convey.ShouldEqual, 0)
			agents.stated(again, servingState("i2"))
			convey.So(agents.CountServing("plant"), convey.ShouldEqual, 1)
		})
		convey.Convey("one that has missed two statements is passed over while there are others", func() {
			other := hosts.Host{Name: "b", Role: hosts.RoleAgent, Deployment: "plant", Address: "y"}
			agents.Update([]hosts.Host{member, other}, testSnapshot())
			second := newStubPeer("b", "i1")
			agents.opened("b", second)
			later := time.Now().Add(2 * quietLimit)
			candidates := agents.candidates("plant", "", nil, later)
			convey.So(len(candidates), convey.ShouldEqual, 1)
			agents.stated(second, servingState("i1"))
			agents.views["b"].stateAt = later
			candidates = agents.candidates("plant", "", nil, later)
			convey.So(len(candidates), convey.ShouldEqual, 1)
			convey.So(candidates[0].Name, convey.ShouldEqual, "b")
		})
		convey.Convey("a stream continues only on its version", func() {
			_, found := agents.pick("plant", "v2", nil, time.Now())
			convey.So(found, convey.ShouldBeFalse)
		})
	})
}

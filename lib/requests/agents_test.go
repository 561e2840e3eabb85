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

// stubPeer is a connection without messages: its calls wait until their context
// ends.
type stubPeer struct {
	identity links.Identity
	once     sync.Once
	closed   chan struct{}
}

func newStubPeer(name, incarnation string) *stubPeer {
	return &stubPeer{identity: links.Identity{Name: name, Incarnation: incarnation}, closed: make(chan struct{})}
}

func (peer *stubPeer) Call(ctx context.Context, _ string, _, _ any) error {
	<-ctx.Done()
	return ctx.Err()
}
func (peer *stubPeer) Notify(string, any) error { return nil }
func (peer *stubPeer) Done() <-chan struct{}    { return peer.closed }
func (peer *stubPeer) Peer() links.Identity     { return peer.identity }
func (peer *stubPeer) Close()                   { peer.once.Do(func() { close(peer.closed) }) }

func servingState(incarnation string) AgentState {
	return AgentState{Incarnation: incarnation, Deployment: "plant", Version: "v1", State: StateServing, Slots: 8}
}

// Guards against new requests for an agent that is leaving, draining, loading,
// silent or restarted, and against cutting off the requests that run on a
// leaving agent.
func TestCandidateSelection(t *testing.T) {
	convey.Convey("Given one serving agent", t, func() {
		var linked []hosts.Host
		agents := newAgents(hosts.Host{Name: "entry-1"}, backends.RoundRobin{})
		agents.setLinkedHosts = func(wanted []hosts.Host) { linked = wanted }
		member := hosts.Host{Name: "a", Role: hosts.RoleAgent, Deployment: "plant", Address: "x"}
		agents.Update([]hosts.Host{member}, testSnapshot())
		peer := newStubPeer("a", "i1")
		agents.handleLinkOpened("a", peer)
		convey.So(agents.CountServing("plant"), convey.ShouldEqual, 0)
		agents.handleState(peer, servingState("i1"))
		convey.So(agents.CountServing("plant"), convey.ShouldEqual, 1)
		convey.Convey("a state of another incarnation is ignored", func() {
			other := servingState("i0")
			other.State = StateLoading
			agents.handleState(peer, other)
			convey.So(agents.CountServing("plant"), convey.ShouldEqual, 1)
		})
		convey.Convey("a draining or loading agent gets no requests", func() {
			for _, name := range []string{StateDraining, StateLoading} {
				state := servingState("i1")
				state.State = name
				agents.handleState(peer, state)
				convey.So(agents.CountServing("plant"), convey.ShouldEqual, 0)
			}
		})
		convey.Convey("a leaving agent gets no requests, and its link stays while a request is in flight there", func() {
			reserved, found := agents.reserve("plant", "", nil, time.Now())
			convey.So(found, convey.ShouldBeTrue)
			leaving := member
			leaving.Leaving = true
			agents.Update([]hosts.Host{leaving}, testSnapshot())
			convey.So(agents.CountServing("plant"), convey.ShouldEqual, 0)
			convey.So(len(linked), convey.ShouldEqual, 1)
			reserved.release()
			agents.Update([]hosts.Host{leaving}, testSnapshot())
			convey.So(len(linked), convey.ShouldEqual, 0)
		})
		convey.Convey("an agent whose link has ended gets no requests until it has reported its state again", func() {
			peer.Close()
			for agents.CountServing("plant") != 0 {
				time.Sleep(time.Millisecond)
			}
			reconnected := newStubPeer("a", "i2")
			agents.handleLinkOpened("a", reconnected)
			convey.So(agents.CountServing("plant"), convey.ShouldEqual, 0)
			agents.handleState(reconnected, servingState("i2"))
			convey.So(agents.CountServing("plant"), convey.ShouldEqual, 1)
		})
		convey.Convey("an agent that has missed two reports is no candidate while another one has reported in time", func() {
			other := hosts.Host{Name: "b", Role: hosts.RoleAgent, Deployment: "plant", Address: "y"}
			agents.Update([]hosts.Host{member, other}, testSnapshot())
			second := newStubPeer("b", "i1")
			agents.handleLinkOpened("b", second)
			later := time.Now().Add(2 * staleStateAge)
			candidates := agents.candidates("plant", "", nil, later)
			convey.So(len(candidates), convey.ShouldEqual, 1)
			agents.handleState(second, servingState("i1"))
			agents.views["b"].stateReceivedAt = later
			candidates = agents.candidates("plant", "", nil, later)
			convey.So(len(candidates), convey.ShouldEqual, 1)
			convey.So(candidates[0].Name, convey.ShouldEqual, "b")
		})
		convey.Convey("a stream continues only on the version that began it", func() {
			_, found := agents.reserve("plant", "v2", nil, time.Now())
			convey.So(found, convey.ShouldBeFalse)
		})
	})
}

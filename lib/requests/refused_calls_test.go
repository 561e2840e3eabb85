package requests

import (
	"context"
	"encoding/hex"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/sourcegraph/jsonrpc2"
	"go.uber.org/zap"

	"firford/lib/backends"
	"firford/lib/hosts"
	"firford/lib/invariants"
	"firford/lib/links"
)

// scriptedPeer answers each call by its script.
type scriptedPeer struct {
	*stubPeer
	call func(method string, params, result any) error
}

func (peer *scriptedPeer) Call(_ context.Context, method string, params, result any) error {
	return peer.call(method, params, result)
}

// refusedCallsFixture has two agents. The link to the one that gets the first attempt ends
// after one part, and the next link to it refuses the calls of the method while it is
// overloaded.
type refusedCallsFixture struct {
	agents      *Agents
	client      *Client
	dispatcher  *Dispatcher
	refused     string
	refusals    int
	runs, calls atomic.Int64
}

func newRefusedCallsFixture(t *testing.T, refused string, refusals int) *refusedCallsFixture {
	fixture := &refusedCallsFixture{refused: refused, refusals: refusals, client: NewClient(links.NewRouter())}
	fixture.agents = newAgents(hosts.Host{Name: "entry-1"}, backends.RoundRobin{})
	var members []hosts.Host
	for _, name := range []string{"a", "b"} {
		members = append(members, hosts.Host{Name: name, Role: hosts.RoleAgent, Deployment: "plant", Address: name})
	}
	fixture.agents.Update(members, testSnapshot())
	for _, host := range members {
		peer := fixture.newPeer(host.Name)
		fixture.agents.handleLinkOpened(host.Name, peer)
		fixture.agents.handleState(peer, servingState("i1"))
	}
	claims := NewClaimStore(newFakeTable())
	go claims.Run(t.Context())
	checker := invariants.NewForTest(func(name invariants.Name) { t.Errorf("invariant %s violated", name) })
	fixture.dispatcher = NewDispatcher(fixture.agents, fixture.client, claims, checker, zap.NewNop())
	return fixture
}

func (fixture *refusedCallsFixture) newPeer(name string) Peer {
	return &scriptedPeer{stubPeer: newStubPeer(name, "i1"), call: func(method string, params, result any) error {
		if method == fixture.refused && fixture.calls.Add(1) <= int64(fixture.refusals) {
			return &jsonrpc2.Error{Code: links.CodeOverloaded, Message: "too many calls in flight on this link"}
		}
		switch method {
		case methodRun:
			fixture.runs.Add(1)
			fixture.sendPart(params.(runParams).AttemptID, 1)
			fixture.agents.handleLinkOpened(name, fixture.newPeer(name))
			return io.ErrUnexpectedEOF
		case methodResolve:
			*result.(*resolveResult) = resolveResult{State: AttemptRunning}
		case methodCollect:
			fixture.sendPart(params.(collectParams).AttemptID, 2)
			sequence := newPartSequence(0)
			sequence.accept(Part{Number: 1, Text: "part"})
			sequence.accept(Part{Number: 2, Text: "part"})
			*result.(*runResult) = runResult{Outcome: OutcomeAnswered, Version: "v1", Parts: 2, Digest: hex.EncodeToString(sequence.hash.Sum(nil))}
		}
		return nil
	}}
}

func (fixture *refusedCallsFixture) sendPart(attemptID string, number int) {
	fixture.client.receive(partParams{AttemptID: attemptID, Part: number, Version: "v1", Text: "part"})
}

// Guards against a request that runs on a second agent, and an answer that joins parts of
// both, because a link that was opened again is overloaded and refuses to say what became
// of the first attempt.
func TestRefusedCallsDoNotProveThatNothingRan(t *testing.T) {
	for _, refused := range []string{methodResolve, methodCollect} {
		dispatch := func(refusals int) (*refusedCallsFixture, Outcome, int) {
			fixture := newRefusedCallsFixture(t, refused, refusals)
			parts := 0
			request := Request{Deployment: "plant", Organisation: "mill", RequestID: "r", Stream: true, Deadline: time.Now().Add(2 * time.Second), Body: []byte(streamBody)}
			outcome := fixture.dispatcher.Dispatch(t.Context(), IncomingRequest{Request: request, Key: "k"}, func(Part) { parts++ })
			return fixture, outcome, parts
		}
		convey.Convey("Given a link that refuses some calls of "+refused, t, func() {
			fixture, outcome, parts := dispatch(2)
			convey.So(outcome, convey.ShouldHaveSameTypeAs, Answered{})
			convey.So(parts, convey.ShouldEqual, 2)
			convey.So(fixture.runs.Load(), convey.ShouldEqual, 1)
		})
		convey.Convey("Given a link that refuses all calls of "+refused, t, func() {
			fixture, outcome, parts := dispatch(1 << 20)
			convey.So(outcome, convey.ShouldHaveSameTypeAs, Unknown{})
			convey.So(parts, convey.ShouldEqual, 1)
			convey.So(fixture.runs.Load(), convey.ShouldEqual, 1)
		})
	}
}

package rollouts

// This file tests how an entry reads the state of an engine from its agent.

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"firford/lib/links"
)

// Guards against a state that an entry can't decode, and against one that does not
// show which version the engine really serves.
func TestFetchState(t *testing.T) {
	var loader *Loader
	synctest.Test(t, func(*testing.T) {
		_, engine, agent := startOneHost(true)
		engine.restart("v0", "", nil)
		advance(1500*time.Millisecond, agent)
		loader = agent.loader
		agent.stop()
		time.Sleep(time.Minute) // A load that the engine has begun ends.
	})
	convey.Convey("An entry reads which version the engine served and why the agent waits", t, func() {
		router := links.NewRouter()
		Register(router, loader)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			_ = links.Serve(ctx, listener, links.Options{Key: []byte("k"), Router: router, Logger: zap.NewNop()})
		}()
		link, err := links.Dial(ctx, listener.Addr().String(), links.Options{Key: []byte("k"), Router: links.NewRouter(), Logger: zap.NewNop()})
		convey.So(err, convey.ShouldBeNil)
		defer link.Close()
		state, err := FetchState(ctx, link)
		convey.So(err, convey.ShouldBeNil)
		convey.So(state.ChangedAt.IsZero(), convey.ShouldBeFalse)
		state.ChangedAt = time.Time{}
		convey.So(state, convey.ShouldResemble, HostState{
			Host: "h0", Deployment: testDeployment, State: StateWaiting, Version: "v0", Target: "v1",
			Reason: "chunks are missing", Token: 1, Revision: 4,
		})
	})
}

package rollouts

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

// Guards against a state that an entry can't read, and against one that hides
// which version the engine serves.
func TestStateOverALink(t *testing.T) {
	var loader *Loader
	synctest.Test(t, func(*testing.T) {
		_, engine, agent := one(true)
		engine.restart("v0", "", nil)
		settle(1500*time.Millisecond, agent)
		loader = agent.loader
		agent.stop()
		time.Sleep(time.Minute) // The engine's own load ends.
	})
	convey.Convey("An entry reads what the engine really served, and why it waits", t, func() {
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

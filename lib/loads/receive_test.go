package loads

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
)

// failingConn is a socket that fails with its error whenever it is read.
type failingConn struct {
	net.PacketConn
	err   error
	calls atomic.Int64
}

func (conn *failingConn) ReadFrom([]byte) (int, net.Addr, error) {
	conn.calls.Add(1)
	return 0, nil, conn.err
}

func (conn *failingConn) Close() error { return nil }

// Guards against a process that takes a whole core while its socket fails, and against one
// that goes on without the datagrams of a socket that is closed.
func TestReceiveSurvivesErrors(t *testing.T) {
	receiveFor := func(err error) (calls int64, took time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			const shortage = 10 * time.Second
			ctx, cancel := context.WithTimeout(t.Context(), shortage)
			defer cancel()
			conn, began := &failingConn{err: err}, time.Now()
			receive(ctx, conn, zap.NewNop(), func(message, netip.AddrPort) {})
			calls, took = conn.calls.Load(), time.Since(began)
		})
		return calls, took
	}
	convey.Convey("Given a socket that fails for ten seconds, it is read a few hundred times a second", t, func() {
		calls, took := receiveFor(syscall.ENOMEM)
		convey.So(took, convey.ShouldEqual, 10*time.Second)
		convey.So(calls, convey.ShouldBeBetween, 100, 3000)
	})
	convey.Convey("Given a socket that is closed, receiving ends", t, func() {
		calls, took := receiveFor(net.ErrClosed)
		convey.So(took, convey.ShouldEqual, 0)
		convey.So(calls, convey.ShouldEqual, 1)
	})
}

package dialers

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// Guards against connections that hang when the peer is silent, because the
// kernel doesn't know the timeouts.
func TestDialledConnectionTimeouts(t *testing.T) {
	convey.Convey("Given a connection, the kernel has its timeouts", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = listener.Close() }()
		conn, err := New(time.Second, 1500*time.Millisecond).Dial("tcp", listener.Addr().String())
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = conn.Close() }()
		raw, err := conn.(*net.TCPConn).SyscallConn()
		convey.So(err, convey.ShouldBeNil)
		var timeout, alive int
		_ = raw.Control(func(fd uintptr) {
			timeout, _ = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
			alive, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)
		})
		convey.So(timeout, convey.ShouldEqual, 1500)
		convey.So(alive, convey.ShouldEqual, 1)
	})
}

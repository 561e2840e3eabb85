package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// echoServer starts a server that returns what it receives, and returns its address.
func echoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// dial connects to the address and retries until the relay listens.
func dial(address string) net.Conn {
	for {
		if conn, err := net.Dial("tcp", address); err == nil {
			return conn
		}
	}
}

// echoLine sends a line and returns the line that comes back.
func echoLine(conn net.Conn) string {
	_, _ = conn.Write([]byte("hello\n"))
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return line
}

// Guards against a silent fault that also breaks new connections or closes the open
// ones: tests that rely on the fault would then prove nothing.
func TestSilentConnections(t *testing.T) {
	convey.Convey("Given a route with an open connection that forwards bytes", t, func() {
		address := freeAddress(t)
		network := New([]Route{{Name: "a", Listen: address, Target: echoServer(t)}})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = network.Run(ctx) }()
		old := dial(address)
		convey.So(echoLine(old), convey.ShouldEqual, "hello\n")
		convey.Convey("after the silent fault a new connection works and the old one stays open", func() {
			convey.So(network.SetFault("a", FaultSilent), convey.ShouldBeNil)
			_, err := old.Write([]byte("lost\n"))
			convey.So(err, convey.ShouldBeNil)
			convey.So(echoLine(dial(address)), convey.ShouldEqual, "hello\n")
		})
		convey.Convey("the cut fault closes the connection", func() {
			convey.So(network.SetFault("a", FaultCut), convey.ShouldBeNil)
			_, err := old.Read(make([]byte, 1))
			convey.So(err, convey.ShouldNotBeNil)
		})
		convey.So(network.SetFault("b", FaultCut), convey.ShouldNotBeNil)
		convey.So(network.SetFault("a", "other"), convey.ShouldNotBeNil)
	})
}

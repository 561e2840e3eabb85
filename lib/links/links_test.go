package links

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
)

type echoParams struct {
	Text string `json:"text"`
}

func serveEcho(t *testing.T, key string) string {
	t.Helper()
	router := NewRouter()
	OnCall(router, "echo", func(_ context.Context, _ *Link, params echoParams) (echoParams, error) {
		return params, nil
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		_ = Serve(ctx, listener, Options{Self: Identity{Name: "b"}, Key: []byte(key), Router: router, Logger: zap.NewNop()})
	}()
	return listener.Addr().String()
}

// Guards against an agent accepting orders from a process without the fleet
// key.
func TestLinkAuthentication(t *testing.T) {
	convey.Convey("Given a listener with a key", t, func() {
		address := serveEcho(t, "right")
		options := Options{Self: Identity{Name: "a"}, Router: NewRouter(), Logger: zap.NewNop()}
		convey.Convey("a dialler with the same key can call the peer and sees its identity", func() {
			options.Key = []byte("right")
			link, err := Dial(context.Background(), address, options)
			convey.So(err, convey.ShouldBeNil)
			defer link.Close()
			var answer echoParams
			convey.So(link.Call(context.Background(), "echo", echoParams{Text: "x"}, &answer), convey.ShouldBeNil)
			convey.So(answer.Text, convey.ShouldEqual, "x")
			convey.So(link.Peer().Name, convey.ShouldEqual, "b")
		})
		convey.Convey("a dialler with another key is refused", func() {
			options.Key = []byte("wrong")
			_, err := Dial(context.Background(), address, options)
			convey.So(err, convey.ShouldNotBeNil)
		})
		convey.Convey("a call before authentication is refused", func() {
			conn, err := net.Dial("tcp", address)
			convey.So(err, convey.ShouldBeNil)
			link := newLink(conn, options)
			defer link.Close()
			convey.So(link.Call(context.Background(), "echo", echoParams{}, nil), convey.ShouldNotBeNil)
		})
	})
}

// Guards against a peer that takes another identity after it has proved its own, or that
// makes the other end remember more with each greeting.
func TestHelloIsAcceptedOnce(t *testing.T) {
	convey.Convey("Given an authenticated link", t, func() {
		options := Options{Self: Identity{Name: "a"}, Router: NewRouter(), Logger: zap.NewNop(), Key: []byte("right")}
		link, err := Dial(context.Background(), serveEcho(t, "right"), options)
		convey.So(err, convey.ShouldBeNil)
		defer link.Close()
		convey.Convey("Then a second hello ends it", func() {
			second := helloParams{Identity: Identity{Name: "another"}, Nonce: newNonce()}
			convey.So(link.rpc.Call(context.Background(), methodHello, second, nil), convey.ShouldNotBeNil)
			convey.So(link.Call(context.Background(), "echo", echoParams{}, nil), convey.ShouldNotBeNil)
		})
	})
	convey.Convey("Given a connection without a hello, a proof ends it", t, func() {
		conn, err := net.Dial("tcp", serveEcho(t, "right"))
		convey.So(err, convey.ShouldBeNil)
		link := newLink(conn, Options{Self: Identity{Name: "a"}, Router: NewRouter(), Logger: zap.NewNop(), Key: []byte("right")})
		defer link.Close()
		convey.So(link.rpc.Call(context.Background(), methodProve, proveParams{Proof: "00"}, nil), convey.ShouldNotBeNil)
	})
	convey.Convey("Given a frame that does not begin with a length, the error says so", t, func() {
		unreadable := bytes.Repeat([]byte{0xff}, binary.MaxVarintLen64+1)
		err := boundedCodec{}.ReadObject(bufio.NewReader(bytes.NewReader(unreadable)), nil)
		convey.So(err, convey.ShouldEqual, errUnreadableLength)
	})
}

// Guards against a peer that exhausts memory by announcing a huge frame.
func TestFrameAboveLimit(t *testing.T) {
	convey.Convey("A frame that announces more than the limit ends the link", t, func() {
		address := serveEcho(t, "k")
		conn, err := net.Dial("tcp", address)
		convey.So(err, convey.ShouldBeNil)
		_, err = conn.Write([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
		convey.So(err, convey.ShouldBeNil)
		buffer := make([]byte, 1)
		_, err = conn.Read(buffer)
		convey.So(err, convey.ShouldNotBeNil)
	})
}

package platform

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

const (
	answerWritten  = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"revision\":1}"
	answerConflict = "HTTP/1.1 409 Conflict\r\nContent-Length: 11\r\n\r\n{\"rows\":[]}"
	answerRefused  = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
)

// repeatAnswers serves with the answer and, delay after it, writes an earlier one once
// more. It returns its address, and a channel that gets a value after each earlier answer.
func repeatAnswers(t *testing.T, answer, earlier string, delay time.Duration) (address string, repeated chan struct{}) {
	repeated = make(chan struct{}, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		for reader := bufio.NewReader(conn); ; {
			received, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, received.Body)
			_, _ = conn.Write([]byte(answer))
			time.Sleep(delay)
			_, _ = conn.Write([]byte(earlier))
			repeated <- struct{}{}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String(), repeated
}

// Guards against an earlier answer that is taken for the one to the next transaction. A
// claim that another entry holds would count as won, and its request would run twice.
func TestTransactionsGetTheirOwnAnswers(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
		for _, each := range []struct {
			name, answer, earlier string
			isOwn                 func(err error) bool
		}{
			{"conflicts", answerConflict, answerWritten, func(err error) bool { return errors.As(err, new(*ConflictError)) }},
			{"writes", answerWritten, answerRefused, func(err error) bool { return err == nil }},
		} {
			convey.Convey(fmt.Sprintf("Given a table that %s and writes an earlier answer after %s", each.name, delay), t, func() {
				address, repeated := repeatAnswers(t, each.answer, each.earlier, delay)
				client, foreign := New(address, "token"), 0
				for range 20 {
					if _, err := client.Transact(context.Background(), nil, nil); !each.isOwn(err) {
						foreign++
					}
					<-repeated
				}
				convey.So(foreign, convey.ShouldEqual, 0)
			})
		}
	}
}

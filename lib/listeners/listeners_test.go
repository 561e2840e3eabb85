package listeners

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// failingListener fails with its error until endsAt, and returns connections afterwards.
type failingListener struct {
	net.Listener
	err    error
	endsAt time.Time
	calls  atomic.Int64
}

func (listener *failingListener) Accept() (net.Conn, error) {
	listener.calls.Add(1)
	if time.Now().Before(listener.endsAt) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", listener.err)}
	}
	conn, _ := net.Pipe()
	return conn, nil
}

func (listener *failingListener) Close() error { return nil }

// Guards against a server that ends, and that its process goes on without, because accept
// has failed while the host was short of something or one connection had failed.
func TestAcceptOutlivesShortages(t *testing.T) {
	const shortage = 30 * time.Second
	for _, err := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO, syscall.EPERM, syscall.EINTR,
		syscall.ENETDOWN, syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENOPROTOOPT, syscall.ENONET, syscall.EOPNOTSUPP,
	} {
		convey.Convey("Given a listener that fails for a while with "+err.Error(), t, func() {
			core, logged := observer.New(zap.DebugLevel)
			scope := tally.NewTestScope("", nil)
			var late time.Duration
			var calls int64
			var accepted error
			synctest.Test(t, func(*testing.T) {
				source := &failingListener{err: err, endsAt: time.Now().Add(shortage)}
				listener := New(source, "probes", zap.New(core), scope)
				_, accepted = listener.Accept()
				late, calls = time.Since(source.endsAt), source.calls.Load()
				time.Sleep(ShortageTime)
				_, _ = listener.Accept()
			})
			convey.So(accepted, convey.ShouldBeNil)
			convey.So(late, convey.ShouldBeLessThan, 2*maxRetryPause)
			convey.Convey("it is tried a few times a second, and logged once", func() {
				convey.So(calls, convey.ShouldBeLessThan, 2*shortage/maxRetryPause)
				convey.So(logged.FilterMessage("accept failed").Len(), convey.ShouldEqual, 1)
				convey.So(logged.FilterMessage("accepting again").Len(), convey.ShouldEqual, 1)
				convey.So(scope.Snapshot().Counters()["accept_failures+listener=probes"].Value(), convey.ShouldEqual, calls-1)
			})
		})
	}
}

// Guards against a wait for connections that goes on after the listener was closed, after
// its deadline, or although none can ever come.
func TestAcceptEnds(t *testing.T) {
	convey.Convey("Given a listener that is closed during a shortage, accept ends", t, func() {
		var err error
		synctest.Test(t, func(*testing.T) {
			listener := New(&failingListener{err: syscall.EMFILE, endsAt: time.Now().Add(time.Hour)}, "probes", zap.NewNop(), tally.NoopScope)
			time.AfterFunc(time.Second, func() { _ = listener.Close() })
			_, err = listener.Accept()
		})
		convey.So(errors.Is(err, net.ErrClosed), convey.ShouldBeTrue)
	})
	for _, final := range []error{net.ErrClosed, os.ErrDeadlineExceeded, syscall.EBADF, syscall.EINVAL} {
		convey.Convey("Given a listener that fails for good with "+final.Error()+", accept returns the error at once", t, func() {
			source := &failingListener{err: final, endsAt: time.Now().Add(time.Hour)}
			_, err := New(source, "probes", zap.NewNop(), tally.NoopScope).Accept()
			convey.So(errors.Is(err, final), convey.ShouldBeTrue)
			convey.So(source.calls.Load(), convey.ShouldEqual, 1)
		})
	}
	convey.Convey("Given a listener that is closed while it waits for connections, accept ends", t, func() {
		listener, err := Listen("127.0.0.1:0", "probes", zap.NewNop(), tally.NoopScope)
		convey.So(err, convey.ShouldBeNil)
		time.AfterFunc(10*time.Millisecond, func() { _ = listener.Close() })
		_, err = listener.Accept()
		convey.So(errors.Is(err, net.ErrClosed), convey.ShouldBeTrue)
	})
}

// Guards against a process that says that it is ready while accept fails, or fails for all
// but a few connections, and against a log line for each of these.
func TestShortageLastsUntilAcceptSucceedsForAWhile(t *testing.T) {
	convey.Convey("Given a listener for which every second call fails", t, func() {
		core, logged := observer.New(zap.DebugLevel)
		var shortAtFirst, shortMeanwhile, shortAtLast bool
		synctest.Test(t, func(*testing.T) {
			source := &failingListener{err: syscall.EMFILE}
			listener := New(source, "callers", zap.New(core), tally.NoopScope)
			shortAtFirst = listener.IsShort(time.Now())
			shortMeanwhile = true
			for range 100 {
				source.endsAt = time.Now().Add(time.Millisecond)
				_, _ = listener.Accept()
				shortMeanwhile = shortMeanwhile && listener.IsShort(time.Now())
			}
			time.Sleep(ShortageTime)
			_, _ = listener.Accept()
			shortAtLast = listener.IsShort(time.Now())
		})
		convey.So(shortAtFirst, convey.ShouldBeFalse)
		convey.So(shortMeanwhile, convey.ShouldBeTrue)
		convey.So(shortAtLast, convey.ShouldBeFalse)
		convey.So(logged.Len(), convey.ShouldEqual, 2)
	})
}

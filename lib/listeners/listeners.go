// Package listeners accepts connections for as long as the process wants them.
//
// The servers of the libraries that this project uses stop serving when accept fails:
// fasthttp at any error, net/http and gRPC at all that they don't know as temporary. Most
// errors of accept say only that the host is short of something at the moment, such as
// descriptors or memory, or that one connection failed. A process whose server for
// readiness or for peers has ended that way lives on without it. So a Listener keeps such
// errors to itself and tries again.
package listeners

import (
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

const (
	// minRetryPause and maxRetryPause bound the pauses before accept is tried again. A
	// short one finds a descriptor that another connection has given back, a long one
	// bounds what a lasting shortage costs.
	minRetryPause = 5 * time.Millisecond
	maxRetryPause = 100 * time.Millisecond
	// ShortageTime is how long after its last failure a listener counts as short. While a
	// process is at its limit, accept succeeds now and then, with each descriptor that
	// another connection gives back.
	ShortageTime = time.Second
)

// finalErrors are the errors of accept after which no connection comes any more.
var finalErrors = []error{net.ErrClosed, os.ErrDeadlineExceeded, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT}

// Listener is a listener whose Accept fails only when no connection will ever come:
// because the listener is closed, its deadline has passed, or it is no listener. Accept
// must not be called concurrently.
type Listener struct {
	net.Listener
	name      string
	logger    *zap.Logger
	failures  tally.Counter
	pauses    *backoff.ExponentialBackOff
	failed    int
	failingAt time.Time
	// lastFailedAt is when accept last failed, nil if it never has.
	lastFailedAt atomic.Pointer[time.Time]
	closed       chan struct{}
	closeOnce    sync.Once
}

// New returns a listener that accepts from the one it is given. The name, one of few,
// tells it from others in logs and in the metric accept_failures.
func New(listener net.Listener, name string, logger *zap.Logger, scope tally.Scope) *Listener {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = minRetryPause, maxRetryPause
	return &Listener{
		Listener: listener, name: name, logger: logger, pauses: pauses, closed: make(chan struct{}),
		failures: scope.Tagged(map[string]string{"listener": name}).Counter("accept_failures"),
	}
}

// Listen listens on a TCP address.
func Listen(address, name string, logger *zap.Logger, scope tally.Scope) (*Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return New(listener, name, logger, scope), nil
}

// Accept implements net.Listener.
func (listener *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := listener.Listener.Accept()
		if err == nil {
			listener.recordSuccess()
			return conn, nil
		}
		if isFinal(err) {
			return nil, err
		}
		listener.recordFailure(err)
		select {
		case <-listener.closed:
			return nil, net.ErrClosed
		case <-time.After(listener.pauses.NextBackOff()):
		}
	}
}

// Close implements net.Listener.
func (listener *Listener) Close() error {
	listener.closeOnce.Do(func() { close(listener.closed) })
	return listener.Listener.Close()
}

// SetDeadline ends the wait of Accept at the time, with os.ErrDeadlineExceeded. It returns an
// error if the listener below has no deadlines.
func (listener *Listener) SetDeadline(deadline time.Time) error {
	limited, hasDeadline := listener.Listener.(interface {
		SetDeadline(deadline time.Time) error
	})
	if !hasDeadline {
		return errors.ErrUnsupported
	}
	return limited.SetDeadline(deadline)
}

// BoundUnread bounds how many bytes of each connection the kernel keeps until they are read,
// for connections that are opened from now on. Where that is not possible, it logs why.
func (listener *Listener) BoundUnread(bytes int) {
	err := listener.control(func(descriptor int) error {
		return unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
	})
	if err != nil {
		listener.logger.Warn("unread bytes are not bounded", zap.String("listener", listener.name), zap.Error(err))
	}
}

// control calls the function with the descriptor of the socket below.
func (listener *Listener) control(use func(descriptor int) error) error {
	socket, isSocket := listener.Listener.(syscall.Conn)
	if !isSocket {
		return errors.ErrUnsupported
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var useErr error
	err = raw.Control(func(descriptor uintptr) { useErr = use(int(descriptor)) })
	return errors.Join(err, useErr)
}

// HasWaiting reports whether a connection waits to be accepted, also while accept fails or
// its deadline has passed. It returns false if the listener below is not a socket.
func (listener *Listener) HasWaiting() bool {
	count := 0
	err := listener.control(func(descriptor int) error {
		count, _ = unix.Poll([]unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}, 0)
		return nil
	})
	return err == nil && count > 0
}

// IsShort reports whether accept has failed within ShortageTime before now, so that callers
// should go elsewhere. It is safe for concurrent use.
func (listener *Listener) IsShort(now time.Time) bool {
	lastFailedAt := listener.lastFailedAt.Load()
	return lastFailedAt != nil && now.Sub(*lastFailedAt) < ShortageTime
}

// isFinal reports whether an error of accept will come again, however often it is called.
func isFinal(err error) bool {
	return slices.ContainsFunc(finalErrors, func(final error) bool { return errors.Is(err, final) })
}

// recordFailure counts a failure, and logs the first one of a shortage.
func (listener *Listener) recordFailure(err error) {
	now := time.Now()
	listener.lastFailedAt.Store(&now)
	listener.failures.Inc(1)
	listener.failed++
	if listener.failed == 1 {
		listener.failingAt = now
		listener.logger.Warn("accept failed", zap.String("listener", listener.name), zap.Error(err))
	}
}

// recordSuccess logs the first success after a shortage.
func (listener *Listener) recordSuccess() {
	if listener.failed == 0 {
		return
	}
	listener.pauses.Reset()
	if listener.IsShort(time.Now()) {
		return
	}
	listener.logger.Info("accepting again", zap.String("listener", listener.name),
		zap.Int("failures", listener.failed), zap.Duration("failed_for", listener.lastFailedAt.Load().Sub(listener.failingAt)))
	listener.failed = 0
}

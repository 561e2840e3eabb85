// Package dialers opens TCP connections that notice when the other side has
// gone silent.
//
// Something between two processes may lose track of an open connection, and a
// machine without power answers nothing. Without limits of its own a connection
// then hangs for many minutes.
package dialers

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// probes is how many keep-alive probes go unanswered within the silence.
	probes = 2
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, in milliseconds, which package
	// syscall lacks.
	tcpUserTimeout = 18
)

// New returns a dialer. A new connection may take the connect time. One on which
// sent bytes or keep-alive probes stay unanswered for the silence is closed.
func New(connect, silence time.Duration) *net.Dialer {
	pause := silence / (probes + 1)
	return &net.Dialer{
		Timeout:         connect,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: pause, Interval: pause, Count: probes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silence.Milliseconds()))
			})
			return errors.Join(err, failed)
		},
	}
}

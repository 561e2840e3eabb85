// Package dialers opens TCP connections that detect a peer that has gone
// silent.
//
// A device between two processes may drop the state of an open connection, and
// a machine without power answers nothing. Without its own timeouts a
// connection then hangs for many minutes.
package dialers

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

const (
	// keepAliveProbes is the number of unanswered keep-alive probes within the
	// silence limit.
	keepAliveProbes = 2
	// tcpUserTimeout is the number of Linux's socket option TCP_USER_TIMEOUT,
	// which package syscall lacks. The option's value is in milliseconds.
	tcpUserTimeout = 18
)

// shortages are the errors by which the system says that this process or its host has
// nothing left of which a connection needs one: descriptors or memory.
var shortages = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.ENOBUFS}

// IsShortage reports whether a call to the system failed because this process or its host
// is short of descriptors or memory. Such an error says nothing about the peer.
func IsShortage(err error) bool {
	return slices.ContainsFunc(shortages, func(shortage error) bool { return errors.Is(err, shortage) })
}

// New returns a dialer. Connecting may take connectTimeout. A connection is
// closed if sent bytes or keep-alive probes stay unanswered for silenceLimit.
func New(connectTimeout, silenceLimit time.Duration) *net.Dialer {
	interval := silenceLimit / (keepAliveProbes + 1)
	return &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: keepAliveProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silenceLimit.Milliseconds()))
			})
			return errors.Join(err, optionErr)
		},
	}
}

// Package shortages helps tests of processes that run out of a resource. Only tests import
// it.
package shortages

import (
	"errors"
	"testing"

	"golang.org/x/sys/unix"
)

const (
	// OwnProcess is the id of the process of the test itself.
	OwnProcess = 0
	// leftDescriptors is a limit that allows nothing but standard input, which is open. With a
	// limit of zero, poll would refuse to look even at one descriptor that is open.
	leftDescriptors = 1
)

// TakeDescriptors leaves the process without a descriptor that it could open, until the
// returned function is called. Descriptors that are open already stay open. A process that
// has ended meanwhile is left alone.
func TakeDescriptors(t *testing.T, process int) (giveBack func()) {
	t.Helper()
	var former unix.Rlimit
	if err := unix.Prlimit(process, unix.RLIMIT_NOFILE, nil, &former); err != nil {
		t.Fatal(err)
	}
	if err := unix.Prlimit(process, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: leftDescriptors, Max: former.Max}, nil); err != nil {
		t.Fatal(err)
	}
	return func() {
		if err := unix.Prlimit(process, unix.RLIMIT_NOFILE, &former, nil); err != nil && !errors.Is(err, unix.ESRCH) {
			t.Error(err)
		}
	}
}

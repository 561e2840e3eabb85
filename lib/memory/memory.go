// Package memory keeps a process within the memory of its host.
//
// The garbage collector lets a heap grow to twice what is in use before it runs. On a busy
// host it also ends late, and the heap grows further meanwhile. A host without swap kills
// the process then. With a limit, the collector runs the more often the closer the process
// comes to it.
package memory

import (
	"fmt"
	"math"
	"os"
	"runtime/debug"
	"syscall"
)

const (
	// heapShare is the share of the memory that the runtime may use. The kernel needs the
	// rest for bytes that have arrived on connections and were not read yet.
	heapShare = 0.75
	// limitVariable is the environment variable with which an operator sets the limit.
	limitVariable = "GOMEMLIMIT"
)

// LimitToHost limits the runtime to its share of the host's memory, unless the operator
// has set a limit.
func LimitToHost() error {
	if os.Getenv(limitVariable) != "" {
		return nil
	}
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return fmt.Errorf("read the memory of the host: %w", err)
	}
	if total := uint64(info.Totalram) * uint64(info.Unit); total > 0 && total < math.MaxInt64 {
		Limit(int64(total))
	}
	return nil
}

// Limit limits the runtime to its share of the bytes, and returns a function that restores
// the former limit.
func Limit(bytes int64) (restore func()) {
	former := debug.SetMemoryLimit(int64(heapShare * float64(bytes)))
	return func() { debug.SetMemoryLimit(former) }
}

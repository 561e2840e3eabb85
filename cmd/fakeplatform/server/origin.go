package server

// Reads of weights share a link with a limited rate, as they do at the real
// origin.

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	minOriginStep = 4 << 10
	maxOriginStep = 64 << 10
	// A step is what the link sends in about a millisecond, so that concurrent
	// readers share the link evenly instead of waiting for whole chunks of others.
	originStepsPerSecond = 1000
	// The token bucket holds what the link sends in 10 ms: enough for the
	// granularity of timers, too little to exceed the rate noticeably.
	originBurstsPerSecond = 100
	maxOriginBytes        = 2 << 30
)

type (
	// origin is the weight store behind a link with a limited rate.
	origin struct {
		limiter     *rate.Limiter
		step        int
		unavailable *atomic.Bool
		sent        atomic.Int64 // Bytes sent since the start.

		mutex   sync.Mutex
		weights map[string][]byte
		stored  int64 // Total size of the weights in bytes.
	}

	// originReader reads the content of one response at the rate of the link.
	originReader struct {
		ctx      context.Context
		origin   *origin
		rest     []byte // Content that is not read yet.
		reserved int    // Bytes of rest for which the limiter has been waited for.
	}
)

var (
	errOriginUnavailable = errors.New("the origin is unavailable")
	errOriginFull        = errors.New("the origin's memory is full")
)

func newOrigin(bytesPerSecond int64, unavailable *atomic.Bool) *origin {
	origin := &origin{
		limiter:     rate.NewLimiter(rate.Inf, 0),
		step:        maxOriginStep,
		unavailable: unavailable,
		weights:     map[string][]byte{},
	}
	if bytesPerSecond > 0 {
		origin.step = int(min(max(bytesPerSecond/originStepsPerSecond, minOriginStep), maxOriginStep))
		burst := max(int(bytesPerSecond/originBurstsPerSecond), origin.step)
		origin.limiter = rate.NewLimiter(rate.Limit(bytesPerSecond), burst)
	}
	return origin
}

// put stores the weights under the name. It fails when all weights together would
// exceed maxOriginBytes.
func (origin *origin) put(name string, content []byte) error {
	origin.mutex.Lock()
	defer origin.mutex.Unlock()
	stored := origin.stored - int64(len(origin.weights[name])) + int64(len(content))
	if stored > maxOriginBytes {
		return errOriginFull
	}
	origin.stored = stored
	origin.weights[name] = content
	return nil
}

func (origin *origin) get(name string) ([]byte, bool) {
	origin.mutex.Lock()
	defer origin.mutex.Unlock()
	content, known := origin.weights[name]
	return content, known
}

// Read implements io.Reader. It waits until the link has sent a step of the
// content and fails while the origin is unavailable.
func (reader *originReader) Read(buffer []byte) (int, error) {
	if len(reader.rest) == 0 {
		return 0, io.EOF
	}
	if reader.origin.unavailable.Load() {
		return 0, errOriginUnavailable
	}
	if reader.reserved == 0 {
		step := min(reader.origin.step, len(reader.rest))
		if err := reader.origin.limiter.WaitN(reader.ctx, step); err != nil {
			return 0, err
		}
		reader.reserved = step
	}
	count := copy(buffer, reader.rest[:reader.reserved])
	reader.rest = reader.rest[count:]
	reader.reserved -= count
	reader.origin.sent.Add(int64(count))
	return count, nil
}

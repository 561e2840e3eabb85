package server

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
	// A step takes about a millisecond of the link, so that concurrent readers
	// alternate finely instead of waiting for each other's chunks.
	originStepsPerSecond = 1000
	// The bucket holds 10 ms of the link: enough for the granularity of timers,
	// too little to exceed the link's rate noticeably.
	originBurstsPerSecond = 100
	maxOriginBytes        = 2 << 30
)

type (
	// origin is the weight store behind a link with a limited rate.
	origin struct {
		limiter *rate.Limiter
		step    int
		out     *atomic.Bool
		sent    atomic.Int64

		mutex   sync.Mutex
		weights map[string][]byte
		stored  int64
	}

	// originReader sends one response at the pace of the link.
	originReader struct {
		ctx    context.Context
		origin *origin
		rest   []byte
		paid   int
	}
)

var (
	errOriginOut  = errors.New("the origin is unavailable")
	errOriginFull = errors.New("the origin's memory is full")
)

func newOrigin(bytesPerSecond int64, out *atomic.Bool) *origin {
	origin := &origin{
		limiter: rate.NewLimiter(rate.Inf, 0),
		step:    maxOriginStep,
		out:     out,
		weights: map[string][]byte{},
	}
	if bytesPerSecond > 0 {
		origin.step = int(min(max(bytesPerSecond/originStepsPerSecond, minOriginStep), maxOriginStep))
		burst := max(int(bytesPerSecond/originBurstsPerSecond), origin.step)
		origin.limiter = rate.NewLimiter(rate.Limit(bytesPerSecond), burst)
	}
	return origin
}

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

// Read implements io.Reader.
func (reader *originReader) Read(buffer []byte) (int, error) {
	if len(reader.rest) == 0 {
		return 0, io.EOF
	}
	if reader.origin.out.Load() {
		return 0, errOriginOut
	}
	if reader.paid == 0 {
		step := min(reader.origin.step, len(reader.rest))
		if err := reader.origin.limiter.WaitN(reader.ctx, step); err != nil {
			return 0, err
		}
		reader.paid = step
	}
	count := copy(buffer, reader.rest[:reader.paid])
	reader.rest = reader.rest[count:]
	reader.paid -= count
	reader.origin.sent.Add(int64(count))
	return count, nil
}

package logs

// A process that answers requests must not block when its log is read slowly.
// Lines pass through a bounded buffer to one writing goroutine. When the buffer
// is full, lines are dropped and counted, and a line with their number follows
// the next line that is written.

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// bufferLines bounds the lines that wait to be written. It is about what an
	// entry logs under full load within a few seconds.
	bufferLines = 4096
	// reportInterval equals the reporting interval of package metrics.
	reportInterval = time.Second
	// flushTimeout is how long a process that ends waits for a log that nobody reads.
	flushTimeout = 100 * time.Millisecond
)

var errNotFlushed = errors.New("log lines are left that could not be written in time")

// Buffer writes lines asynchronously, so that its callers never block on the
// output. It is safe for concurrent use.
type Buffer struct {
	lines   chan []byte
	flushes chan chan struct{}
	dropped atomic.Int64
	total   atomic.Int64
}

// NewBuffer returns a buffer that writes to output until the process ends.
func NewBuffer(output io.Writer) *Buffer {
	buffer := &Buffer{lines: make(chan []byte, bufferLines), flushes: make(chan chan struct{})}
	go buffer.run(output)
	return buffer
}

// Write queues a copy of the line, or drops the line if the buffer is full. It
// never blocks or fails.
func (buffer *Buffer) Write(line []byte) (int, error) {
	select {
	case buffer.lines <- bytes.Clone(line):
	default:
		buffer.dropped.Add(1)
		buffer.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the buffer was created.
func (buffer *Buffer) Dropped() int64 { return buffer.total.Load() }

// ReportDropped updates a gauge of the dropped lines until the context ends.
func (buffer *Buffer) ReportDropped(ctx context.Context, scope tally.Scope) {
	gauge := scope.Gauge("log_lines_dropped")
	for ticker := time.NewTicker(reportInterval); ; {
		gauge.Update(float64(buffer.Dropped()))
		select {
		case <-ctx.Done():
			ticker.Stop()
			return
		case <-ticker.C:
		}
	}
}

// Sync waits until the lines that are queued now have been written, at most flushTimeout.
func (buffer *Buffer) Sync() error {
	done := make(chan struct{})
	timeout := time.After(flushTimeout)
	select {
	case buffer.flushes <- done:
	case <-timeout:
		return errNotFlushed
	}
	select {
	case <-done:
		return nil
	case <-timeout:
		return errNotFlushed
	}
}

func (buffer *Buffer) run(output io.Writer) {
	for {
		select {
		case line := <-buffer.lines:
			buffer.write(output, line)
		case done := <-buffer.flushes:
			for len(buffer.lines) > 0 {
				buffer.write(output, <-buffer.lines)
			}
			close(done)
		}
	}
}

// write joins all queued lines into one write, because system calls are
// expensive. Errors are ignored: this log is the only place to report them.
func (buffer *Buffer) write(output io.Writer, line []byte) {
	for range len(buffer.lines) {
		line = append(line, <-buffer.lines...)
	}
	if dropped := buffer.dropped.Swap(0); dropped > 0 {
		line = append(line, fmt.Sprintf("level=warn event=\"log lines dropped\" lines=%d\n", dropped)...)
	}
	_, _ = output.Write(line)
}

package logs

// A process that answers requests must not wait for whoever reads its log. Lines
// go through a bounded buffer to one writer; when the buffer is full, lines are
// dropped and counted, and the next line that is written says how many.

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// bufferLines bounds the lines that wait to be written: some seconds of an entry
	// under full load.
	bufferLines = 4096
	// reportInterval is as long as the interval of the metrics.
	reportInterval = time.Second
)

// Buffer passes lines on without blocking its callers. It is safe for concurrent
// use.
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

// Write queues a line, or drops it. It never fails.
func (buffer *Buffer) Write(line []byte) (int, error) {
	select {
	case buffer.lines <- bytes.Clone(line):
	default:
		buffer.dropped.Add(1)
		buffer.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the start.
func (buffer *Buffer) Dropped() int64 { return buffer.total.Load() }

// ReportDropped keeps a gauge of the dropped lines until the context ends.
func (buffer *Buffer) ReportDropped(ctx context.Context, scope tally.Scope) {
	gauge := scope.Gauge("log_lines_dropped")
	for tick := time.NewTicker(reportInterval); ; {
		gauge.Update(float64(buffer.Dropped()))
		select {
		case <-ctx.Done():
			tick.Stop()
			return
		case <-tick.C:
		}
	}
}

// Sync waits until the lines that are queued now have been written.
func (buffer *Buffer) Sync() error {
	done := make(chan struct{})
	buffer.flushes <- done
	<-done
	return nil
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

// write joins the lines that wait, since each call of the system has its cost. An
// error can't be reported anywhere else than in this log.
func (buffer *Buffer) write(output io.Writer, line []byte) {
	for range len(buffer.lines) {
		line = append(line, <-buffer.lines...)
	}
	if dropped := buffer.dropped.Swap(0); dropped > 0 {
		line = append(line, fmt.Sprintf("level=warn event=\"log lines dropped\" lines=%d\n", dropped)...)
	}
	_, _ = output.Write(line)
}

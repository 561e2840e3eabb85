package requests

import (
	"bufio"
	"encoding/json"
	"sync"
	"time"
)

// Limit on the text that is buffered for a slow caller. Beyond it the stream
// ends with an error, because waiting for the caller would block the agent's
// connection.
const maxBufferedBytes = 4 << 20

type (
	// answerStream buffers parts between the agent's connection, which must not
	// block, and the caller's connection, which may be slow.
	answerStream struct {
		mutex         sync.Mutex
		changed       *sync.Cond
		buffered      []Part
		bufferedBytes int
		overflowed    bool
		finalOutcome  Outcome
		firstPartAt   time.Time
		partCount     int
	}

	partLine struct {
		Part int    `json:"part"`
		Text string `json:"text"`
	}
)

func newAnswerStream() *answerStream {
	stream := &answerStream{}
	stream.changed = sync.NewCond(&stream.mutex)
	return stream
}

// push buffers a part without blocking.
func (stream *answerStream) push(part Part) {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	if stream.partCount == 0 {
		stream.firstPartAt = time.Now()
	}
	stream.partCount++
	if stream.overflowed || stream.bufferedBytes+len(part.Text) > maxBufferedBytes {
		stream.overflowed = true
	} else {
		stream.buffered = append(stream.buffered, part)
		stream.bufferedBytes += len(part.Text)
	}
	stream.changed.Broadcast()
}

func (stream *answerStream) finish(outcome Outcome) {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	stream.finalOutcome = outcome
	stream.changed.Broadcast()
}

// awaitFirstEvent waits for the first part or the outcome and reports whether a
// part arrived.
func (stream *answerStream) awaitFirstEvent() bool {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	for stream.partCount == 0 && stream.finalOutcome == nil {
		stream.changed.Wait()
	}
	return stream.partCount > 0
}

func (stream *answerStream) outcome() Outcome {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	return stream.finalOutcome
}

func (stream *answerStream) partStats() (first time.Time, parts int) {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	return stream.firstPartAt, stream.partCount
}

// next waits for parts or the outcome. It returns all buffered parts before the
// outcome.
func (stream *answerStream) next() (parts []Part, outcome Outcome) {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	for len(stream.buffered) == 0 && stream.finalOutcome == nil && !stream.overflowed {
		stream.changed.Wait()
	}
	parts, stream.buffered, stream.bufferedBytes = stream.buffered, nil, 0
	if len(parts) > 0 {
		return parts, nil
	}
	if stream.overflowed {
		return nil, Unknown{Code: CodeStreamBroken, Message: "the caller read the answer too slowly"}
	}
	return nil, stream.finalOutcome
}

// writer returns the function that writes the answer's lines. It calls cancel
// when the caller's connection fails, and after the last line.
func (stream *answerStream) writer(cancel func()) func(*bufio.Writer) {
	return func(out *bufio.Writer) {
		defer cancel()
		encoder := json.NewEncoder(out)
		for {
			parts, outcome := stream.next()
			for _, part := range parts {
				if encoder.Encode(partLine{Part: part.Number, Text: part.Text}) != nil {
					return
				}
			}
			if outcome != nil {
				_ = encoder.Encode(finalLine(outcome)) // The connection ends either way.
				_ = out.Flush()
				return
			}
			if out.Flush() != nil {
				return
			}
		}
	}
}

func finalLine(outcome Outcome) any {
	if end, answered := outcome.(Answered); answered {
		return newAnswerBody(end)
	}
	return failureBody(outcome)
}

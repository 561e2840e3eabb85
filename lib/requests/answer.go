package requests

import (
	"bufio"
	"encoding/json"
	"sync"
	"time"
)

// Text that waits for a slow caller is bounded; beyond the bound the stream
// ends in an error instead of making the agent's connection wait.
const maxWaitingBytes = 4 << 20

type (
	// answerStream hands parts from the agent's connection, which must not wait,
	// to the caller's connection, which may be slow.
	answerStream struct {
		mutex    sync.Mutex
		changed  *sync.Cond
		waiting  []Part
		bytes    int
		overflow bool
		ended    Outcome
		first    time.Time
		parts    int
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

// pass takes a part in without waiting.
func (stream *answerStream) pass(part Part) {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	if stream.parts == 0 {
		stream.first = time.Now()
	}
	stream.parts++
	if stream.overflow || stream.bytes+len(part.Text) > maxWaitingBytes {
		stream.overflow = true
	} else {
		stream.waiting = append(stream.waiting, part)
		stream.bytes += len(part.Text)
	}
	stream.changed.Broadcast()
}

func (stream *answerStream) end(outcome Outcome) {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	stream.ended = outcome
	stream.changed.Broadcast()
}

// waitFirst waits for the first event and reports whether it is a part.
func (stream *answerStream) waitFirst() bool {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	for stream.parts == 0 && stream.ended == nil {
		stream.changed.Wait()
	}
	return stream.parts > 0
}

func (stream *answerStream) outcome() Outcome {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	return stream.ended
}

func (stream *answerStream) seen() (first time.Time, parts int) {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	return stream.first, stream.parts
}

// take waits for parts or the end. Parts come before an outcome.
func (stream *answerStream) take() (parts []Part, outcome Outcome) {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	for len(stream.waiting) == 0 && stream.ended == nil && !stream.overflow {
		stream.changed.Wait()
	}
	parts, stream.waiting, stream.bytes = stream.waiting, nil, 0
	if len(parts) > 0 {
		return parts, nil
	}
	if stream.overflow {
		return nil, Unknown{Code: CodeStreamBroken, Message: "the caller read the answer too slowly"}
	}
	return nil, stream.ended
}

// writer returns the function that writes the answer's lines. abandon is called
// when the caller's connection fails, and after the last line.
func (stream *answerStream) writer(abandon func()) func(*bufio.Writer) {
	return func(out *bufio.Writer) {
		defer abandon()
		encoder := json.NewEncoder(out)
		for {
			parts, outcome := stream.take()
			for _, part := range parts {
				if encoder.Encode(partLine{Part: part.Number, Text: part.Text}) != nil {
					return
				}
			}
			if outcome != nil {
				_ = encoder.Encode(endLine(outcome)) // The connection ends either way.
				_ = out.Flush()
				return
			}
			if out.Flush() != nil {
				return
			}
		}
	}
}

func endLine(outcome Outcome) any {
	if end, answered := outcome.(Answered); answered {
		return newAnswerBody(end)
	}
	return failureBody(outcome)
}

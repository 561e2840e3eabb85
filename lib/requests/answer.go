package requests

import (
	"bufio"
	"encoding/json"
	"sync"
	"time"

	"firford/lib/budgets"
)

const (
	// maxBufferedBytes bounds what is buffered for a slow caller. Beyond it the stream ends
	// with an error, because waiting for the caller would block the agent's connection.
	maxBufferedBytes = 4 << 20
	// partOverhead is what a part takes in memory beside its text.
	partOverhead = 32
)

type (
	// answerStream buffers parts between the agent's connection, which must not
	// block, and the caller's connection, which may be slow.
	answerStream struct {
		account       *budgets.Account
		mutex         sync.Mutex
		changed       *sync.Cond
		buffered      []Part
		bufferedBytes int
		overflowed    bool
		// isAbandoned is set once nobody will read the parts.
		isAbandoned  bool
		finalOutcome Outcome
		firstPartAt  time.Time
		partCount    int
	}

	partLine struct {
		Part int    `json:"part"`
		Text string `json:"text"`
	}
)

// newAnswerStream returns a stream that holds its parts in the account of the caller.
func newAnswerStream(account *budgets.Account) *answerStream {
	stream := &answerStream{account: account}
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
	stream.buffer(part)
	stream.changed.Broadcast()
}

// buffer keeps a part that somebody will read. The caller holds the mutex.
func (stream *answerStream) buffer(part Part) {
	size := partBytes(part)
	switch {
	case stream.isAbandoned:
	case stream.overflowed || stream.bufferedBytes+size > maxBufferedBytes || stream.account.Take(budgets.Answers, int64(size)) != nil:
		stream.overflowed = true
	default:
		stream.buffered = append(stream.buffered, part)
		stream.bufferedBytes += size
	}
}

// partBytes returns what a part takes in memory.
func partBytes(part Part) int { return partOverhead + len(part.Text) }

// written gives back the memory of parts that were written to the caller.
func (stream *answerStream) written(parts []Part) {
	for _, part := range parts {
		stream.account.Give(budgets.Answers, int64(partBytes(part)))
	}
}

// abandon gives back the memory of all parts, since nobody will read them.
func (stream *answerStream) abandon() {
	stream.mutex.Lock()
	defer stream.mutex.Unlock()
	stream.isAbandoned = true
	stream.written(stream.buffered)
	stream.buffered, stream.bufferedBytes = nil, 0
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
		defer stream.abandon()
		encoder := json.NewEncoder(out)
		for {
			parts, outcome := stream.next()
			err := encodeParts(encoder, parts)
			stream.written(parts)
			if err != nil {
				return
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

func encodeParts(encoder *json.Encoder, parts []Part) error {
	for _, part := range parts {
		if err := encoder.Encode(partLine{Part: part.Number, Text: part.Text}); err != nil {
			return err
		}
	}
	return nil
}

func finalLine(outcome Outcome) any {
	if end, answered := outcome.(Answered); answered {
		return newAnswerBody(end)
	}
	return failureBody(outcome)
}

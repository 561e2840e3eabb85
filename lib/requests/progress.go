package requests

import (
	"encoding/hex"
	"sync"

	"github.com/zeebo/blake3"
)

// Answers up to this size are kept with their claim, so that a repeat of the
// key is answered without the agent. The table is not a store for long texts.
const maxKeptBytes = 16 << 10

// progress is what the caller has received of a streamed answer, over all
// attempts of its request.
type progress struct {
	mutex   sync.Mutex
	deliver func(Part)
	last    int
	hash    *blake3.Hasher
	texts   []string
	bytes   int
}

func newProgress(deliver func(Part)) *progress {
	return &progress{deliver: deliver, hash: blake3.New()}
}

// pass hands a part to the caller. Each attempt delivers its parts in order and
// starts behind the last passed one, so a part of another number is a repeat.
func (passed *progress) pass(part Part) {
	passed.mutex.Lock()
	defer passed.mutex.Unlock()
	if part.Number != passed.last+1 {
		return
	}
	passed.last = part.Number
	_, _ = passed.hash.WriteString(part.Text) // A hash takes every write.
	passed.bytes += len(part.Text)
	if passed.bytes <= maxKeptBytes {
		passed.texts = append(passed.texts, part.Text)
	}
	passed.deliver(part)
}

func (passed *progress) count() int {
	passed.mutex.Lock()
	defer passed.mutex.Unlock()
	return passed.last
}

func (passed *progress) digest() string {
	passed.mutex.Lock()
	defer passed.mutex.Unlock()
	return hex.EncodeToString(passed.hash.Sum(nil))
}

// kept returns all texts, or false when they were too long to keep.
func (passed *progress) kept() ([]string, bool) {
	passed.mutex.Lock()
	defer passed.mutex.Unlock()
	return passed.texts, passed.bytes <= maxKeptBytes
}

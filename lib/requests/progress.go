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
	version string // Of the first part that states one.
	hash    *blake3.Hasher
	texts   []string
	bytes   int
}

func newProgress(deliver func(Part)) *progress {
	return &progress{deliver: deliver, hash: blake3.New()}
}

// pass hands a part to the caller. Each attempt delivers its parts in order and
// starts behind the last passed one, so a part of another number is a repeat. A
// part of another version would mix two answers; without it the end of its
// attempt does not match, and the answer ends in a stated error.
func (passed *progress) pass(part Part) {
	passed.mutex.Lock()
	defer passed.mutex.Unlock()
	foreign := part.Version != "" && passed.version != "" && part.Version != passed.version
	if part.Number != passed.last+1 || foreign {
		return
	}
	if passed.version == "" {
		passed.version = part.Version
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

// begunBy returns the version that made the passed parts, if one was stated.
func (passed *progress) begunBy() string {
	passed.mutex.Lock()
	defer passed.mutex.Unlock()
	return passed.version
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

package requests

import (
	"encoding/hex"
	"sync"

	"github.com/zeebo/blake3"
)

// Answers up to this size are stored with their claim, so that a repeat of the
// key is answered without the agent. The table is not meant for long texts.
const maxKeptBytes = 16 << 10

// progress tracks what the caller has received of a streamed answer, over all
// attempts of the request.
type progress struct {
	mutex     sync.Mutex
	deliver   func(Part)
	lastPart  int
	version   string // From the first part that names one.
	hash      *blake3.Hasher
	texts     []string
	textBytes int
}

func newProgress(deliver func(Part)) *progress {
	return &progress{deliver: deliver, hash: blake3.New()}
}

// deliverPart passes a part on to the caller. Each attempt delivers its parts
// in order and starts after the last delivered one, so a part with any other
// number is a duplicate. A part of another version is dropped, because it would
// mix two answers. The end of its attempt then does not match, and the answer
// ends with an error.
func (delivered *progress) deliverPart(part Part) {
	delivered.mutex.Lock()
	defer delivered.mutex.Unlock()
	otherVersion := part.Version != "" && delivered.version != "" && part.Version != delivered.version
	if part.Number != delivered.lastPart+1 || otherVersion {
		return
	}
	if delivered.version == "" {
		delivered.version = part.Version
	}
	delivered.lastPart = part.Number
	_, _ = delivered.hash.WriteString(part.Text) // Writing to a hash never fails.
	delivered.textBytes += len(part.Text)
	if delivered.textBytes <= maxKeptBytes {
		delivered.texts = append(delivered.texts, part.Text)
	}
	delivered.deliver(part)
}

func (delivered *progress) partCount() int {
	delivered.mutex.Lock()
	defer delivered.mutex.Unlock()
	return delivered.lastPart
}

// firstVersion returns the version that produced the delivered parts, or an
// empty string if no part named one.
func (delivered *progress) firstVersion() string {
	delivered.mutex.Lock()
	defer delivered.mutex.Unlock()
	return delivered.version
}

func (delivered *progress) digest() string {
	delivered.mutex.Lock()
	defer delivered.mutex.Unlock()
	return hex.EncodeToString(delivered.hash.Sum(nil))
}

// keptTexts returns the texts of all parts, or false if they were too long to
// store.
func (delivered *progress) keptTexts() ([]string, bool) {
	delivered.mutex.Lock()
	defer delivered.mutex.Unlock()
	return delivered.texts, delivered.textBytes <= maxKeptBytes
}

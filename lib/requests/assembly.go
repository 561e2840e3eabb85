package requests

// An answer reaches the entry as numbered parts, possibly over two connections
// at once, of which one is slow. Only the part that follows the last accepted
// one is passed on. Out-of-order parts are not kept: the agent holds all of
// them and sends the missing ones again when the entry collects, which bounds
// the memory here.

import (
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/zeebo/blake3"
)

// ErrIncomplete is returned for an answer whose parts do not match its end.
var ErrIncomplete = errors.New("the answer is not complete")

// assembly verifies the parts of one attempt. Parts up to after belong to an
// earlier attempt; the digest covers the parts behind them.
type assembly struct {
	after int
	last  int
	hash  *blake3.Hasher
}

func newAssembly(after int) *assembly {
	return &assembly{after: after, last: after, hash: blake3.New()}
}

// accept reports whether the part is the next one and takes it in.
func (answer *assembly) accept(part Part) bool {
	if part.Number != answer.last+1 {
		return false
	}
	answer.last = part.Number
	_, _ = answer.hash.WriteString(part.Text) // A hash takes every write.
	return true
}

// verify compares the end of a streamed answer with the parts.
func (answer *assembly) verify(end Answered) error {
	if end.Parts != answer.last {
		return fmt.Errorf("%w: %d of %d parts", ErrIncomplete, answer.last, end.Parts)
	}
	if digest := hex.EncodeToString(answer.hash.Sum(nil)); digest != end.Digest {
		return fmt.Errorf("%w: the digest of its parts is %s instead of %s", ErrIncomplete, digest, end.Digest)
	}
	return nil
}

// verifyBody compares the digest of an answer that was not streamed.
func verifyBody(end Answered) error {
	if digest := BodyDigest(end.Body); digest != end.Digest {
		return fmt.Errorf("%w: the digest of its body is %s instead of %s", ErrIncomplete, digest, end.Digest)
	}
	return nil
}

// BodyDigest returns the BLAKE3 hash of the body in hex.
func BodyDigest(body []byte) string {
	sum := blake3.Sum256(body)
	return hex.EncodeToString(sum[:])
}

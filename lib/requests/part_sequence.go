package requests

// An answer reaches the entry as numbered parts, possibly over two connections
// at once, one of which may be slow. Only the part that directly follows the
// last accepted one is passed on. Out-of-order parts are dropped, which bounds
// the memory here: the agent keeps all parts and sends the missing ones again
// when the entry collects them.

import (
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/zeebo/blake3"
)

// ErrIncomplete means that an answer does not match its number of parts or its
// digest.
var ErrIncomplete = errors.New("the answer is not complete")

// partSequence accepts the parts of one attempt in order and verifies them
// against the end of the answer. Parts up to afterPart belong to an earlier
// attempt; the digest covers only the parts after them.
type partSequence struct {
	afterPart int
	lastPart  int
	hash      *blake3.Hasher
}

func newPartSequence(afterPart int) *partSequence {
	return &partSequence{afterPart: afterPart, lastPart: afterPart, hash: blake3.New()}
}

// accept takes in the part if it is the next one, and reports whether it is.
func (sequence *partSequence) accept(part Part) bool {
	if part.Number != sequence.lastPart+1 {
		return false
	}
	sequence.lastPart = part.Number
	_, _ = sequence.hash.WriteString(part.Text) // Writing to a hash never fails.
	return true
}

// verify checks the accepted parts against the number of parts and the digest
// at the end of a streamed answer.
func (sequence *partSequence) verify(end Answered) error {
	if end.Parts != sequence.lastPart {
		return fmt.Errorf("%w: received %d of %d parts", ErrIncomplete, sequence.lastPart, end.Parts)
	}
	if digest := hex.EncodeToString(sequence.hash.Sum(nil)); digest != end.Digest {
		return fmt.Errorf("%w: the digest of its parts is %s instead of %s", ErrIncomplete, digest, end.Digest)
	}
	return nil
}

// verifyBody checks the digest of an answer that was not streamed.
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

// Package tokens computes the answers of the fake backend servers. Every token
// is a function of the request, the prompt, the position and the version, so that
// a caller can verify that an answer is complete, belongs to its request and
// comes from one version. Random text was rejected because it could only be
// compared with a recording made by the server.
package tokens

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Answer computes the tokens of one answer. It is immutable.
type Answer struct {
	seed uint64
}

// New returns the answer that the version gives to the request and prompt.
func New(requestID, prompt, version string) Answer {
	return Answer{seed: hash(requestID, prompt, version)}
}

// Token returns the token at the index, which counts from 1.
func (answer Answer) Token(index int) string {
	mixed := hash(strconv.FormatUint(answer.seed, 16), strconv.Itoa(index))
	return " " + strconv.FormatUint(mixed&0xffffff|0x1000000, 36)
}

// Text returns the concatenated tokens from the first index to the last, inclusive.
func (answer Answer) Text(first, last int) string {
	var text strings.Builder
	for index := first; index <= last; index++ {
		text.WriteString(answer.Token(index))
	}
	return text.String()
}

// CallResult returns the result of a call to a plain service.
func CallResult(requestID, call string, arguments []byte) string {
	return strconv.FormatUint(hash(requestID, call, string(arguments)), 16)
}

// hash prefixes each field with its length, so that moving text from one field
// to the next changes the result.
func hash(fields ...string) uint64 {
	digest := xxhash.New()
	for _, field := range fields {
		_, _ = digest.WriteString(strconv.Itoa(len(field)) + ":")
		_, _ = digest.WriteString(field)
	}
	return digest.Sum64()
}

package gateways

// This file tells whether two requests are the same one that came again. Each attempt of
// a caller has an id of its own, so that only what was asked, and by whom, can tell.

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"strings"

	"firford/lib/quarantines"
)

// fingerprint identifies what the request asks and for which organisation. A caller must
// not be able to construct a request with the fingerprint of another one, so it takes a
// cryptographic hash.
func (request *request) fingerprint() quarantines.Fingerprint {
	digest := sha256.New()
	for _, text := range []string{
		request.received.Method, strings.ToLower(request.received.Host), request.received.RequestURI, request.match.Organisation.Name,
	} {
		writeField(digest, []byte(text))
	}
	writeField(digest, request.body)
	return quarantines.Fingerprint(binary.BigEndian.Uint64(digest.Sum(nil)))
}

// writeField writes the length before the bytes, so that no two lists of fields are equal
// when they are joined.
func writeField(digest hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = digest.Write(length[:]) // A hash returns no errors.
	_, _ = digest.Write(field)
}

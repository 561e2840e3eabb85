package stagings

// The pieces of a version are kept in memory and verified against the version's
// manifest, so that peers can fetch them before the engine has loaded them.

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"firford/lib/weights"
)

type (
	// Manifest lists the SHA-256 digests of a version's pieces in order. PieceBytes
	// is the size of a piece in bytes.
	Manifest struct {
		Model      string           `json:"model"`
		Version    int              `json:"version"`
		PieceBytes int64            `json:"piece_bytes"`
		Digests    []weights.Digest `json:"digests"`
	}

	// content holds the verified pieces of one version. It is safe for concurrent
	// use. The channel changed is closed and replaced when a piece is added.
	content struct {
		manifest Manifest
		mutex    sync.Mutex
		pieces   [][]byte
		count    int
		// completedAt is when the last piece was added.
		completedAt time.Time
		changed     chan struct{}
	}
)

// Verify reports whether the body matches the digest of the piece.
func (manifest Manifest) Verify(piece int, body []byte) bool {
	return piece >= 0 && piece < len(manifest.Digests) && weights.Digest(sha256.Sum256(body)) == manifest.Digests[piece]
}

// Validate returns an error if the manifest belongs to another model or version,
// or if it has another number of pieces. Zero pieces means that the number is
// unknown.
func (manifest Manifest) Validate(model string, version, pieces int) error {
	if manifest.Model != model || manifest.Version != version {
		return fmt.Errorf("manifest is for %s version %d instead of %s version %d", manifest.Model, manifest.Version, model, version)
	}
	if pieces > 0 && len(manifest.Digests) != pieces {
		return fmt.Errorf("manifest has %d pieces instead of %d", len(manifest.Digests), pieces)
	}
	return nil
}

// Equal reports whether both manifests have the same content.
func (manifest Manifest) Equal(other Manifest) bool {
	left, errLeft := json.Marshal(manifest)
	right, errRight := json.Marshal(other)
	return errLeft == nil && errRight == nil && string(left) == string(right)
}

func newContent(manifest Manifest) *content {
	return &content{manifest: manifest, pieces: make([][]byte, len(manifest.Digests)), changed: make(chan struct{})}
}

// put stores a piece if it matches its digest. It reports whether it matched, and
// whether it was missing until now.
func (content *content) put(piece int, body []byte) (isValid, isNew bool) {
	if !content.manifest.Verify(piece, body) {
		return false, false
	}
	content.mutex.Lock()
	defer content.mutex.Unlock()
	if content.pieces[piece] != nil {
		return true, false
	}
	content.pieces[piece] = body
	content.count++
	if content.count == len(content.pieces) {
		content.completedAt = time.Now()
	}
	close(content.changed)
	content.changed = make(chan struct{})
	return true, true
}

// get returns the piece, or nil if it is missing or out of range, and a channel
// that is closed when the next piece is added.
func (content *content) get(piece int) ([]byte, <-chan struct{}) {
	content.mutex.Lock()
	defer content.mutex.Unlock()
	if piece < 0 || piece >= len(content.pieces) {
		return nil, content.changed
	}
	return content.pieces[piece], content.changed
}

func (content *content) complete() bool {
	content.mutex.Lock()
	defer content.mutex.Unlock()
	return content.count == len(content.pieces)
}

// isMostlyFetched reports whether more than half of the pieces are present, but
// not all.
func (content *content) isMostlyFetched() bool {
	content.mutex.Lock()
	defer content.mutex.Unlock()
	return content.count < len(content.pieces) && 2*content.count > len(content.pieces)
}

// completionTime returns when the last piece was added, or the zero time if
// pieces are missing.
func (content *content) completionTime() time.Time {
	content.mutex.Lock()
	defer content.mutex.Unlock()
	return content.completedAt
}

// heldPieces returns the set of pieces that are present.
func (content *content) heldPieces() weights.Set {
	content.mutex.Lock()
	defer content.mutex.Unlock()
	set := weights.NewSet(len(content.pieces))
	for piece, body := range content.pieces {
		if body != nil {
			set = set.With(piece)
		}
	}
	return set
}

// allPieces returns the indices of all pieces, present or not.
func (content *content) allPieces() []int {
	list := make([]int, len(content.pieces))
	for piece := range list {
		list[piece] = piece
	}
	return list
}

// missing returns the indices of the pieces that are not present yet.
func (content *content) missing() []int {
	content.mutex.Lock()
	defer content.mutex.Unlock()
	var list []int
	for piece, body := range content.pieces {
		if body == nil {
			list = append(list, piece)
		}
	}
	return list
}

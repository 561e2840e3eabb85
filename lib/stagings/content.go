package stagings

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"firford/lib/weights"
)

type (
	// Manifest lists the SHA-256 digests of a version's pieces in order.
	Manifest struct {
		Model      string           `json:"model"`
		Version    int              `json:"version"`
		PieceBytes int64            `json:"piece_bytes"`
		Digests    []weights.Digest `json:"digests"`
	}

	// content holds the verified pieces of one version. It is safe for concurrent
	// use.
	content struct {
		manifest Manifest
		mutex    sync.Mutex
		pieces   [][]byte
		count    int
		// whole is when the last piece arrived.
		whole   time.Time
		changed chan struct{}
	}
)

// Verify reports whether the bytes are the piece.
func (manifest Manifest) Verify(piece int, body []byte) bool {
	return piece >= 0 && piece < len(manifest.Digests) && weights.Digest(sha256.Sum256(body)) == manifest.Digests[piece]
}

// Validate reports a manifest that can't be that of the version.
func (manifest Manifest) Validate(model string, version, pieces int) error {
	if manifest.Model != model || manifest.Version != version {
		return fmt.Errorf("manifest of %s %d instead of %s %d", manifest.Model, manifest.Version, model, version)
	}
	if pieces > 0 && len(manifest.Digests) != pieces {
		return fmt.Errorf("manifest has %d pieces instead of %d", len(manifest.Digests), pieces)
	}
	return nil
}

// Equal reports whether both list the same pieces.
func (manifest Manifest) Equal(other Manifest) bool {
	left, errLeft := json.Marshal(manifest)
	right, errRight := json.Marshal(other)
	return errLeft == nil && errRight == nil && string(left) == string(right)
}

func newContent(manifest Manifest) *content {
	return &content{manifest: manifest, pieces: make([][]byte, len(manifest.Digests)), changed: make(chan struct{})}
}

// put keeps a piece that matches its digest and reports whether it did.
func (content *content) put(piece int, body []byte) bool {
	if !content.manifest.Verify(piece, body) {
		return false
	}
	content.mutex.Lock()
	defer content.mutex.Unlock()
	if content.pieces[piece] == nil {
		content.pieces[piece] = body
		content.count++
		if content.count == len(content.pieces) {
			content.whole = time.Now()
		}
		close(content.changed)
		content.changed = make(chan struct{})
	}
	return true
}

// get returns a piece, or nil and a channel that is closed with the next change.
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

// isMostlyThere reports whether more than half of the pieces are there, but not
// all.
func (content *content) isMostlyThere() bool {
	content.mutex.Lock()
	defer content.mutex.Unlock()
	return content.count < len(content.pieces) && 2*content.count > len(content.pieces)
}

// wholeAt returns when the last piece arrived.
func (content *content) wholeAt() time.Time {
	content.mutex.Lock()
	defer content.mutex.Unlock()
	return content.whole
}

// held returns the pieces that are there.
func (content *content) held() weights.Set {
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

// indices returns all pieces by number.
func (content *content) indices() []int {
	list := make([]int, len(content.pieces))
	for piece := range list {
		list[piece] = piece
	}
	return list
}

// missing returns the pieces that are not there yet.
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

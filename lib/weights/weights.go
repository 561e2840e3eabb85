// Package weights describes the content of a version: an immutable manifest of
// chunks, each named by its BLAKE3 digest, and sets of those chunks.
package weights

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"

	"github.com/zeebo/blake3"
)

// DigestBytes is the size of a BLAKE3 digest in bytes.
const DigestBytes = 32

type (
	// Digest is the BLAKE3 hash that identifies content. Its text form is lower-case
	// hex.
	Digest [DigestBytes]byte

	// Manifest lists the chunks of one version's weights in order. Weights is the
	// name of the content in the weight store. All chunks but the last have
	// ChunkSize bytes. A manifest is not changed after it has been built.
	Manifest struct {
		Weights   string   `json:"weights"`
		Size      int64    `json:"size"`
		ChunkSize int64    `json:"chunk_size"`
		Chunks    []Digest `json:"chunks"`
	}
)

// Sum returns the digest of the content.
func Sum(content []byte) Digest {
	return blake3.Sum256(content)
}

// ParseDigest parses a digest from lower-case or upper-case hex.
func ParseDigest(text string) (Digest, error) {
	var digest Digest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != DigestBytes {
		return digest, fmt.Errorf("digest %q: not %d bytes in hex", text, DigestBytes)
	}
	copy(digest[:], raw)
	return digest, nil
}

// String returns the digest in lower-case hex.
func (digest Digest) String() string {
	return hex.EncodeToString(digest[:])
}

// MarshalText implements encoding.TextMarshaler.
func (digest Digest) MarshalText() ([]byte, error) {
	return []byte(digest.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (digest *Digest) UnmarshalText(text []byte) error {
	parsed, err := ParseDigest(string(text))
	*digest = parsed
	return err
}

// BuildManifest reads the content up to EOF and returns its manifest. Name is the
// name of the content in the weight store. Empty content is an error.
func BuildManifest(name string, content io.Reader, chunkSize int64) (Manifest, error) {
	manifest := Manifest{Weights: name, ChunkSize: chunkSize}
	chunk := make([]byte, chunkSize)
	for {
		count, err := io.ReadFull(content, chunk)
		if count > 0 {
			manifest.Chunks = append(manifest.Chunks, Sum(chunk[:count]))
			manifest.Size += int64(count)
		}
		switch err {
		case nil:
		case io.EOF, io.ErrUnexpectedEOF:
			return manifest, manifest.Validate()
		default:
			return Manifest{}, fmt.Errorf("read weights %s: %w", name, err)
		}
	}
}

// Validate returns an error if the sizes and the number of chunks do not fit
// together, or if the manifest describes no content.
func (manifest Manifest) Validate() error {
	if manifest.Weights == "" || manifest.Size <= 0 || manifest.ChunkSize <= 0 {
		return fmt.Errorf("manifest of %q: size %d in chunks of %d bytes", manifest.Weights, manifest.Size, manifest.ChunkSize)
	}
	if want := (manifest.Size + manifest.ChunkSize - 1) / manifest.ChunkSize; int64(len(manifest.Chunks)) != want {
		return fmt.Errorf("manifest of %q: %d chunks instead of %d", manifest.Weights, len(manifest.Chunks), want)
	}
	return nil
}

// Encode returns the canonical encoding of the manifest, which its digest covers.
func (manifest Manifest) Encode() []byte {
	encoded, err := json.Marshal(manifest)
	if err != nil {
		// A manifest has only strings and numbers, which can always be encoded.
		panic(fmt.Sprintf("encode manifest: %v", err))
	}
	return encoded
}

// Digest returns the digest of the encoded manifest. Two versions with the same
// digest have the same chunks in the same order.
func (manifest Manifest) Digest() Digest {
	return Sum(manifest.Encode())
}

// DecodeManifest decodes a manifest after it has verified that the encoding has
// the digest, and validates it.
func DecodeManifest(encoded []byte, digest Digest) (Manifest, error) {
	if Sum(encoded) != digest {
		return Manifest{}, fmt.Errorf("manifest %s: the encoded manifest has another digest", digest)
	}
	var manifest Manifest
	if err := json.Unmarshal(encoded, &manifest); err != nil {
		return Manifest{}, fmt.Errorf("manifest %s: %w", digest, err)
	}
	return manifest, manifest.Validate()
}

// ChunkRange returns the offset and length of a chunk within the content, in bytes.
func (manifest Manifest) ChunkRange(index int) (offset, length int64) {
	offset = int64(index) * manifest.ChunkSize
	return offset, min(manifest.ChunkSize, manifest.Size-offset)
}

// ManifestObjectName returns the name under which the object store keeps the
// manifest with the digest.
func ManifestObjectName(digest Digest) string {
	return "manifests/" + digest.String()
}

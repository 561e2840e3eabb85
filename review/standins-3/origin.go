package main

// The origin of weights, the service with one engine that sends manifests and pieces over a
// link of its own. When it is told to, it spoils one answer and sends that answer a second
// time, as a faulty engine may: late, where the next answer on the connection is due.

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pieces     = 64
	pieceBytes = 32768
	// originMbps is the rate of the origin's link, and burstBytes what it sends at once.
	originMbps = 9.9
	burstBytes = 1460
	// extraDelay is how late the second copy of an answer is sent, before the next answer.
	extraDelay = 30 * time.Millisecond
)

type origin struct {
	record *record

	// link is held while an answer is sent, so that all answers share the rate.
	link sync.Mutex

	mutex sync.Mutex
	// spoilNext is set while the next manifest of the version is to be spoilt.
	spoilNext int
	answers   int
	// answeredAt holds when each answer was given, and spoiltAt when the spoilt one was.
	answeredAt []time.Time
	spoiltAt   time.Time
	spoilt     int
	extra      int
	manifests  map[int]int
}

// pieceOf returns the right bytes of a piece.
func pieceOf(version, piece int) []byte {
	text := fmt.Sprintf("%s/%d/%d;", modelName, version, piece)
	return []byte(strings.Repeat(text, pieceBytes/len(text)+1)[:pieceBytes])
}

// manifestOf returns the right manifest of a version.
func manifestOf(version int) []byte {
	digests := []string{}
	for piece := range pieces {
		sum := sha256.Sum256(pieceOf(version, piece))
		digests = append(digests, hex.EncodeToString(sum[:]))
	}
	encoded, err := json.Marshal(map[string]any{"model": modelName, "version": version, "chunkBytes": pieceBytes, "layers": 16, "digests": digests})
	if err != nil {
		panic(err)
	}
	return encoded
}

// spoil changes one digit of one digest.
func spoil(manifest []byte) []byte {
	var decoded struct {
		Digests []string `json:"digests"`
	}
	_ = json.Unmarshal(manifest, &decoded)
	digest := decoded.Digests[pieces/2]
	digit := "0"
	if digest[0] == '0' {
		digit = "1"
	}
	return bytes.Replace(manifest, []byte(digest), []byte(digit+digest[1:]), 1)
}

func startOrigin(address string, written *record) (*origin, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	served := &origin{record: written, manifests: map[int]int{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go served.serve(conn)
		}
	}()
	return served, nil
}

// serve answers the requests on one connection, one after another.
func (served *origin) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		received, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		version, _ := strconv.Atoi(received.URL.Query().Get("version"))
		status, kind, body := http.StatusOK, "", []byte(nil)
		isSpoilt := false
		switch {
		case strings.HasPrefix(received.URL.Path, "/-/manifest/"):
			kind = fmt.Sprintf("manifest of version %d", version)
			body = manifestOf(version)
			isSpoilt = served.takeSpoil(version)
			if isSpoilt {
				body = spoil(body)
			}
		case strings.HasPrefix(received.URL.Path, "/-/piece/"):
			piece, _ := strconv.Atoi(received.URL.Query().Get("sampleCount"))
			kind = fmt.Sprintf("piece %d of version %d", piece, version)
			body = pieceOf(version, piece)
		default:
			status = http.StatusNotFound
		}
		served.mutex.Lock()
		served.answers++
		served.answeredAt = append(served.answeredAt, time.Now())
		if isSpoilt {
			served.spoiltAt = time.Now()
			served.spoilt++
			served.extra++
		}
		served.mutex.Unlock()
		head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", status, http.StatusText(status), len(body))
		answer := append([]byte(head), body...)
		served.record.line("origin answers %s: %s, spoilt: %t", conn.RemoteAddr(), kind, isSpoilt)
		if served.send(conn, answer) != nil {
			return
		}
		if isSpoilt {
			time.Sleep(extraDelay)
			served.record.line("origin sends the same answer to %s a second time", conn.RemoteAddr())
			if served.send(conn, answer) != nil {
				return
			}
		}
	}
}

// takeSpoil reports whether this manifest is to be spoilt, and counts the manifests.
func (served *origin) takeSpoil(version int) bool {
	served.mutex.Lock()
	defer served.mutex.Unlock()
	served.manifests[version]++
	if served.spoilNext != version {
		return false
	}
	served.spoilNext = 0
	return true
}

// send sends an answer at the rate of the link.
func (served *origin) send(conn net.Conn, answer []byte) error {
	served.link.Lock()
	defer served.link.Unlock()
	for len(answer) > 0 {
		count := min(burstBytes, len(answer))
		time.Sleep(time.Duration(float64(count) * 8 / originMbps * float64(time.Microsecond)))
		if _, err := conn.Write(answer[:count]); err != nil {
			return err
		}
		answer = answer[count:]
	}
	return nil
}

// answersNear returns how many answers were given within the time after the spoilt one.
func (served *origin) answersNear(within time.Duration) int {
	count := 0
	for _, at := range served.answeredAt {
		if !at.Before(served.spoiltAt) && at.Sub(served.spoiltAt) < within {
			count++
		}
	}
	return count
}

// isRightManifest reports whether a manifest as the system stores it has the right digests.
func isRightManifest(stored []byte) bool {
	var right, kept struct {
		Digests []string `json:"digests"`
	}
	if json.Unmarshal(manifestOf(2), &right) != nil || json.Unmarshal(stored, &kept) != nil || len(right.Digests) != len(kept.Digests) {
		return false
	}
	for piece, digest := range right.Digests {
		if kept.Digests[piece] != digest {
			return false
		}
	}
	return true
}

// Package endless helps tests of clients whose servers answer without end. Only tests
// import it.
package endless

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"testing"
	"time"
)

const (
	// fillerBytes is how much a server writes at once.
	fillerBytes = 64 << 10
	// sampleInterval is the pause between two looks at the memory in use.
	sampleInterval = time.Millisecond
)

// StartServer starts a server that answers each request with the text, followed by bytes
// without end, until the test ends. It returns its address.
func StartServer(t *testing.T, text string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go accept(listener, text)
	return listener.Addr().String()
}

func accept(listener net.Listener, text string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go answer(conn, text)
	}
}

func answer(conn net.Conn, text string) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	filler := bytes.Repeat([]byte("x"), fillerBytes)
	_, err := conn.Write([]byte(text))
	for err == nil {
		_, err = conn.Write(filler)
	}
}

// PeakMemory returns the most bytes that the process has from the system for its heap and
// stacks while the function runs.
func PeakMemory(run func()) int64 {
	debug.FreeOSMemory() // What was used before must not count.
	done, peak := make(chan struct{}), make(chan int64)
	go func() {
		for largest := int64(0); ; {
			largest = max(largest, memoryUse())
			select {
			case <-done:
				peak <- largest
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	run()
	close(done)
	return <-peak
}

func memoryUse() int64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.Sys - stats.HeapReleased)
}

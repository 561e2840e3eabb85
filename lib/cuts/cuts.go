// Package cuts helps tests of clients whose servers stop within an answer. Only tests
// import it.
package cuts

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
)

type (
	// Form is a complete answer in one of the forms that HTTP allows.
	Form struct {
		Name, Text string
		// WholeFrom is the length from which on the start of the text is a complete answer
		// if the connection is closed after it.
		WholeFrom int
	}

	// Cut is the incomplete start of an answer, after which the connection ends.
	Cut struct {
		Text string
		// IsReset is set if the connection is reset instead of closed.
		IsReset bool
	}

	// server answers its first requests completely, in order, and all others with a cut
	// answer. It is safe for concurrent use. Complete answers are written byte by byte if
	// isTorn is set.
	server struct {
		listener net.Listener
		complete []string
		isTorn   bool
		cut      Cut
		mutex    sync.Mutex
		received int
		accepted int
	}
)

// Forms returns an answer in all forms. Each line of the header ends with CRLF, and the
// body has two bytes or more.
func Forms(status int, header, body string) []Form {
	head := func(version, reason, lines string) string {
		return fmt.Sprintf("%s %d%s\r\n%s\r\n", version, status, reason, lines)
	}
	const (
		http10, http11 = "HTTP/1.0", "HTTP/1.1"
		reason         = " Fine"
		chunked        = "Transfer-Encoding: chunked\r\n"
		interim        = "HTTP/1.1 103 Early Hints\r\nNote: soon\r\n\r\n"
	)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunks := fmt.Sprintf("1\r\n%s\r\n%x\r\n%s\r\n0\r\n", body[:1], len(body)-1, body[1:])
	forms := []Form{
		{Name: "a length last", Text: head(http11, reason, header+length) + body},
		{Name: "a length first", Text: head(http11, reason, length+header) + body},
		{Name: "chunks", Text: head(http11, reason, header+chunked) + chunks + "\r\n"},
		{Name: "chunks and a trailer", Text: head(http11, reason, chunked+header) + chunks + "Note: checked\r\n\r\n"},
		{Name: "HTTP/1.0", Text: head(http10, reason, header+length) + body},
		{Name: "no reason", Text: head(http11, "", header+length) + body},
		{Name: "a folded line", Text: head(http11, reason, length+header+"Note: checked\r\n twice\r\n") + body},
		{Name: "an interim answer before", Text: interim + head(http11, reason, header+length) + body},
	}
	for i := range forms {
		forms[i].WholeFrom = len(forms[i].Text)
	}
	unframed := head(http11, reason, header)
	return append(forms, Form{Name: "neither length nor chunks", Text: unframed + body, WholeFrom: len(unframed)})
}

// Cuts returns the answer, cut before each of its bytes and ended in both ways. Where a
// closed connection completes the answer, it is only reset.
func (form Form) Cuts() []Cut {
	var cuts []Cut
	for length := range form.WholeFrom {
		cuts = append(cuts, Cut{Text: form.Text[:length]}, Cut{Text: form.Text[:length], IsReset: true})
	}
	if form.isFramed() {
		return cuts
	}
	for length := form.WholeFrom; length <= len(form.Text); length++ {
		cuts = append(cuts, Cut{Text: form.Text[:length], IsReset: true})
	}
	return cuts
}

// isFramed reports whether the answer ends before its connection.
func (form Form) isFramed() bool { return form.WholeFrom == len(form.Text) }

// String implements fmt.Stringer.
func (cut Cut) String() string {
	if cut.IsReset {
		return fmt.Sprintf("a reset after %q", cut.Text)
	}
	return fmt.Sprintf("a close after %q", cut.Text)
}

// Write writes the answer and ends the connection.
func (cut Cut) Write(conn net.Conn) {
	_, _ = io.WriteString(conn, cut.Text)
	if cut.IsReset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}

// WriteTorn writes the text byte by byte.
func WriteTorn(conn net.Conn, text string) {
	for i := range len(text) {
		_, _ = io.WriteString(conn, text[i:i+1])
	}
}

func startServer(t *testing.T, started *server) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	started.listener = listener
	go started.accept()
	return started
}

func (server *server) address() string { return server.listener.Addr().String() }

func (server *server) close() { _ = server.listener.Close() }

func (server *server) requests() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.received
}

func (server *server) connections() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return server.accepted
}

func (server *server) accept() {
	for {
		conn, err := server.listener.Accept()
		if err != nil {
			return
		}
		server.mutex.Lock()
		server.accepted++
		server.mutex.Unlock()
		go server.serve(conn)
	}
}

func (server *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		text, isComplete := server.next()
		switch {
		case !isComplete:
			server.cut.Write(conn)
			return
		case server.isTorn:
			WriteTorn(conn, text)
			return
		default:
			_, _ = io.WriteString(conn, text)
		}
	}
}

// next returns the next complete answer, if one is left.
func (server *server) next() (string, bool) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.received++
	if server.received > len(server.complete) {
		return "", false
	}
	return server.complete[server.received-1], true
}

// CheckClient fails the test for each cut of the answer, in any form on a new connection and
// with a length on a kept one, with which a call succeeds or is repeated, and for complete
// answers with which it fails. NewCall returns a call of a new client to the address.
func CheckClient(t *testing.T, status int, body string, newCall func(address string) func() error) {
	forms := Forms(status, "Note: new\r\n", body)
	for _, form := range forms {
		checkTorn(t, form, newCall)
		for _, cut := range form.Cuts() {
			checkCut(t, form.Name, cut, nil, newCall)
		}
	}
	for _, cut := range forms[0].Cuts() {
		checkCut(t, forms[0].Name, cut, []string{forms[0].Text}, newCall)
	}
}

func checkTorn(t *testing.T, form Form, newCall func(address string) func() error) {
	server := startServer(t, &server{complete: []string{form.Text}, isTorn: true})
	defer server.close()
	if err := newCall(server.address())(); err != nil {
		t.Errorf("%s, byte by byte: %v", form.Name, err)
	}
}

func checkCut(t *testing.T, form string, cut Cut, complete []string, newCall func(address string) func() error) {
	server := startServer(t, &server{complete: complete, cut: cut})
	defer server.close()
	call := newCall(server.address())
	for range complete {
		if err := call(); err != nil {
			t.Errorf("%s, complete: %v", form, err)
		}
	}
	if err := call(); err == nil {
		t.Errorf("%s: success with %s, after %d complete answers", form, cut, len(complete))
	}
	if received := server.requests(); received != len(complete)+1 {
		t.Errorf("%s: %d requests for %d calls with %s", form, received, len(complete)+1, cut)
	}
}

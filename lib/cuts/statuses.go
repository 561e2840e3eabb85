package cuts

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// atOnce is within what an answer without a status must have become an error: long before
// any call times out.
const atOnce = 500 * time.Millisecond

// oddStatuses are texts where an answer has its status, but which are none, or not that of a
// final answer.
var oddStatuses = []string{
	"000", "001", "020", "099", "600", "700", "999", "101", "00", "0", "", "20", "2", "0200", "2000", "20000000000000000000",
	"-00", "+20", "-20", "2.0", "2 0", "0x0", "2e2", "OK", "two", "²00", "20O",
}

// OddStatusAnswers returns answers with the header lines and the body in all forms whose
// status is odd, alone and after an interim answer, and some whose body looks like a sound
// answer. Each line of the header ends with CRLF.
func OddStatusAnswers(header, body string) []Form {
	var answers []Form
	add := func(name, text string) { answers = append(answers, Form{Name: name, Text: text, WholeFrom: len(text)}) }
	const sound = 200
	for _, status := range oddStatuses {
		for _, form := range Forms(sound, header, body) {
			text := strings.Replace(form.Text, fmt.Sprintf(" %d", sound), " "+status, 1)
			add(fmt.Sprintf("status %q, %s", status, form.Name), text)
		}
		soundText := Forms(sound, header, body)[0].Text
		add(fmt.Sprintf("status %q before a sound answer", status), fmt.Sprintf("HTTP/1.1 %s Fine\r\n%s\r\n", status, header)+soundText)
		add(fmt.Sprintf("status %q, its body a sound answer", status),
			fmt.Sprintf("HTTP/1.1 %s Fine\r\n%sContent-Length: %d\r\n\r\n", status, header, len(soundText))+soundText)
	}
	return answers
}

// CheckOddStatuses fails the test for each answer with an odd status with which a call
// succeeds, is made twice, or does not fail at once although the connection stays open, and
// if the connection is used again. NewCall returns a call of a new client to the address.
func CheckOddStatuses(t *testing.T, body string, newCall func(address string) func() error) {
	sound := Forms(200, "", body)[0].Text
	for _, odd := range OddStatusAnswers("Note: new\r\n", body) {
		server := startServer(t, &server{complete: []string{odd.Text, sound}})
		call := newCall(server.address())
		began := time.Now()
		if err := call(); err == nil {
			t.Errorf("%s: success with %q", odd.Name, odd.Text)
		}
		if took := time.Since(began); took > atOnce {
			t.Errorf("%s: failed after %s", odd.Name, took)
		}
		if received := server.requests(); received != 1 {
			t.Errorf("%s: %d requests for one call", odd.Name, received)
		}
		if err := call(); err != nil {
			t.Errorf("%s: the next call fails: %v", odd.Name, err)
		}
		if conns := server.connections(); conns != 2 {
			t.Errorf("%s: %d connections for two calls", odd.Name, conns)
		}
		server.close()
	}
}

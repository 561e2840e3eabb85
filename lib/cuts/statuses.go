package cuts

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// numericStatuses have the form of a status but are none of a final answer, and oddStatuses
// are other texts in the place of one.
var (
	numericStatuses = []string{"000", "099", "101", "600"}
	oddStatuses     = []string{
		"001", "020", "700", "999", "00", "0", "", "20", "2", "0200", "2000", "20000000000000000000",
		"-00", "+20", "-20", "2.0", "2 0", "0x0", "2e2", "OK", "two", "²00", "20O",
	}
)

// OddStatusAnswers returns answers with the header lines and the body whose status is odd:
// the numeric ones in all forms, and before a sound answer or with one as their body. Each
// line of the header ends with CRLF. They are few, since each takes a port for a minute.
func OddStatusAnswers(header, body string) []Form {
	var answers []Form
	add := func(name, text string) { answers = append(answers, Form{Name: name, Text: text, WholeFrom: len(text)}) }
	const sound = 200
	forms := Forms(sound, header, body)
	addForm := func(status string, form Form) {
		add(fmt.Sprintf("status %q, %s", status, form.Name), strings.Replace(form.Text, fmt.Sprintf(" %d", sound), " "+status, 1))
	}
	for _, status := range oddStatuses {
		addForm(status, forms[0])
	}
	for _, status := range numericStatuses {
		for _, form := range forms {
			addForm(status, form)
		}
		soundText := forms[0].Text
		add(fmt.Sprintf("status %q before a sound answer", status), fmt.Sprintf("HTTP/1.1 %s Fine\r\n%s\r\n", status, header)+soundText)
		add(fmt.Sprintf("status %q, its body a sound answer", status),
			fmt.Sprintf("HTTP/1.1 %s Fine\r\n%sContent-Length: %d\r\n\r\n", status, header, len(soundText))+soundText)
	}
	return answers
}

// CheckOddStatuses fails the test for each answer with an odd status with which a call
// succeeds, is made twice, or waits until it times out, since the connection stays open, and
// if the connection is used again. NewCall returns a call of a new client to the address.
func CheckOddStatuses(t *testing.T, body string, newCall func(address string) func() error) {
	sound := Forms(200, "", body)[0].Text
	for _, odd := range OddStatusAnswers("Note: new\r\n", body) {
		server := startServer(t, &server{complete: []string{odd.Text, sound}})
		call := newCall(server.address())
		err := call()
		if err == nil {
			t.Errorf("%s: success with %q", odd.Name, odd.Text)
		}
		var timeout interface{ Timeout() bool }
		if errors.As(err, &timeout) && timeout.Timeout() {
			t.Errorf("%s: waited for more: %v", odd.Name, err)
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

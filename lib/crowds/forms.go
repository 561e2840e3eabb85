package crowds

import (
	"fmt"
	"strings"
	"time"
)

const (
	// withoutEnd is the length of what a client goes on to send until its connection is closed.
	withoutEnd = -1
	// pieceBytes is how much a client writes at once that sends piece by piece, and piecePause
	// the pause after it.
	pieceBytes = 32 << 10
	piecePause = 5 * time.Millisecond
	// bodyClients send large bodies, headClients large heads, and silentClients nothing.
	bodyClients   = 150
	headClients   = 800
	silentClients = 1500
	// chunkBytes is the length of a chunk of the usual size.
	chunkBytes = 16 << 10
)

type (
	// Target is what the clients of a crowd have to know of a listener.
	Target struct {
		Address string
		// Head is the request line and the headers of an ordinary request, without a length
		// and without the empty line at the end.
		Head string
		// HeadBytes and BodyBytes are the limits of heads and bodies.
		HeadBytes, BodyBytes int
		// BodyStart and BodyEnd are what an ordinary body begins and ends with, around any
		// number of letters.
		BodyStart, BodyEnd string
		// IsSecured is set if the listener has TLS.
		IsSecured bool
	}

	// Form is what each client of a crowd sends: the text, then the filler again and again up
	// to the length, and then the tail. It keeps its connection open afterwards, and opens
	// another one when that is closed.
	Form struct {
		Name         string
		Text, Filler string
		Length       int
		Tail         string
		Clients      int
		// isPaced is set if it sends piece by piece.
		isPaced bool
		// isUnread is set if it does not read what it is answered.
		isUnread bool
		// isRaw is set if it uses no TLS.
		isRaw bool
	}
)

// Heads returns the forms of crowds whose heads are too long, do not end, or are as long as
// heads may be.
func Heads(target Target) []Form {
	legal := target.HeadBytes - len(target.Head) - len("Content-Length: 1\r\n\r\n") - 1
	unfinished := "Content-Length: 1\r\n\r\n"
	return []Form{
		{Name: "a header over the limit", Text: target.Head + "Detail: ", Filler: "x", Length: 1 << 20, Tail: "\r\n\r\n", Clients: headClients},
		{Name: "a request line without end", Text: "GET /", Filler: "x", Length: withoutEnd, Clients: headClients},
		{Name: "a header without end", Text: target.Head + "Detail: ", Filler: "x", Length: withoutEnd, Clients: headClients},
		{Name: "a name of a header without end", Text: target.Head, Filler: "x", Length: withoutEnd, Clients: headClients},
		{Name: "headers without end", Text: target.Head, Filler: "Detail: x\r\n", Length: withoutEnd, Clients: headClients},
		{Name: "a folded header without end", Text: target.Head + "Detail: x\r\n", Filler: " x\r\n", Length: withoutEnd, Clients: headClients},
		{Name: "empty lines without end", Filler: "\r\n", Length: withoutEnd, Clients: headClients},
		{Name: "bytes that are no request", Filler: "\x00", Length: withoutEnd, Clients: headClients},
		{Name: "heads of many short lines", Text: target.Head, Filler: shortLines(legal), Length: legal, Tail: unfinished, Clients: headClients},
		{Name: "heads of one short line again and again", Text: target.Head, Filler: "a:\r\n", Length: legal / 4 * 4, Tail: unfinished, Clients: headClients},
		{Name: "heads of odd lines", Text: target.Head + "Detail: x\r\n", Filler: " \r\n", Length: legal / 3 * 3, Tail: unfinished, Clients: headClients},
		{Name: "heads that stop short of their end", Text: target.Head, Filler: shortLines(legal), Length: legal, Clients: headClients},
		{Name: "heads of many short lines, piece by piece", Text: target.Head, Filler: shortLines(legal), Length: legal, Tail: unfinished, Clients: headClients, isPaced: true},
	}
}

// shortLines returns different headers without values, which take the most memory by their
// length. Their length in all is the given one.
func shortLines(length int) string {
	var lines strings.Builder
	for number := 0; lines.Len() < length-16; number++ {
		fmt.Fprintf(&lines, "h%x:\r\n", number)
	}
	return lines.String() + strings.Repeat("h", length-lines.Len()-len(":\r\n")) + ":\r\n"
}

// Bodies returns the forms of crowds whose bodies are as long as bodies may be.
func Bodies(target Target) []Form {
	declared := target.Head + fmt.Sprintf("Content-Length: %d\r\n\r\n", target.BodyBytes)
	letters := target.BodyBytes - len(target.BodyStart) - len(target.BodyEnd)
	whole := Form{Text: declared + target.BodyStart, Filler: "x", Length: letters, Tail: target.BodyEnd, Clients: bodyClients}
	chunked := target.Head + "Transfer-Encoding: chunked\r\n\r\n"
	chunk := encodeChunk(strings.Repeat("x", chunkBytes))
	chunks := letters / chunkBytes * len(chunk)
	wholeInChunks := Form{
		Text: chunked + encodeChunk(target.BodyStart), Filler: chunk, Length: chunks,
		Tail: encodeChunk(target.BodyEnd) + "0\r\n\r\n", Clients: bodyClients,
	}
	small := encodeChunk("x")
	return []Form{
		whole.named("whole bodies"),
		whole.short().named("bodies that stop just short of their end"),
		whole.short().paced().named("bodies that stop just short of their end, piece by piece"),
		{Name: "bodies that are declared and do not come", Text: declared, Clients: bodyClients},
		wholeInChunks.named("whole bodies in chunks"),
		wholeInChunks.short().named("bodies in chunks that stop just short of their end"),
		wholeInChunks.short().paced().named("bodies in chunks that stop just short of their end, piece by piece"),
		{Name: "bodies in chunks of one byte", Text: chunked, Filler: small, Length: letters / 4 * len(small), Clients: bodyClients},
		{Name: "a chunk larger than the limit", Text: chunked + "7fffffff\r\n", Filler: "x", Length: withoutEnd, Clients: bodyClients},
		{Name: "trailers without end", Text: chunked + small + "0\r\n", Filler: "Detail: x\r\n", Length: withoutEnd, Clients: bodyClients},
		{Name: "trailers of short lines", Text: chunked + small + "0\r\n", Filler: shortLines(target.HeadBytes), Length: target.HeadBytes, Clients: headClients},
		{
			Name: "bodies one after the other over one connection", Clients: 1, isUnread: true,
			Filler: declared + target.BodyStart + strings.Repeat("x", letters) + target.BodyEnd, Length: withoutEnd,
		},
	}
}

// encodeChunk returns the bytes as one chunk, nothing for none.
func encodeChunk(bytes string) string {
	if bytes == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(bytes), bytes)
}

func (form Form) named(name string) Form {
	form.Name = name
	return form
}

// short returns the form without its last bytes.
func (form Form) short() Form {
	form.Length, form.Tail = form.Length-1, ""
	return form
}

// paced returns the form sent piece by piece.
func (form Form) paced() Form {
	form.isPaced = true
	return form
}

// Silent returns the form of a crowd that opens connections and sends nothing.
func Silent() Form {
	return Form{Name: "connections without a request", Clients: silentClients}
}

// Handshakes returns the form of a crowd whose handshakes of TLS stop short of their end. Their
// first message has the longest length that is accepted, in records of the longest length.
func Handshakes() Form {
	const (
		record    = "\x16\x03\x01\x40\x00"
		hello     = "\x01\x00\xff\xff"
		recordLen = 16 << 10
	)
	text := record + hello + strings.Repeat("x", recordLen-len(hello))
	return Form{
		Name: "handshakes that stop short of their end", Text: text, Filler: record + strings.Repeat("x", recordLen),
		Length: 3*(len(record)+recordLen) - 1, Clients: headClients, isRaw: true,
	}
}

// Unread returns the form of a crowd that sends whole bodies of the length and does not read
// the answers.
func Unread(target Target, bodyBytes int) Form {
	target.BodyBytes = bodyBytes
	form := Bodies(target)[0].named("answers that nobody reads")
	form.isUnread = true
	return form
}

package gateways

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/smartystreets/goconvey/convey"
)

const (
	failureEvent = "event: error\ndata: the server failed\n\n"
	failurePage  = "<html>\n\n<body>Bad Gateway</body>\n\n"
	failureHead  = "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 4\r\n\r\noops"

	// partPause lets the gateway pass on what a server has sent before it sends more.
	partPause = 50 * time.Millisecond
)

// restOfStream returns the events from the one with the number to the last one.
func restOfStream(number int) string {
	return completeStream(lastEvent + 1)[len(completeStream(number)):]
}

// failures are answers that no server gives to a resumed request in order to go on with
// its stream.
func failures() []namedScript {
	var list []namedScript
	for _, status := range []int{201, 302, 400, 404, 416, 421, 429, 500, 502, 503, 504} {
		header := eventsHeader
		if status == http.StatusServiceUnavailable {
			header += notRunHeader
		}
		list = append(
			list,
			namedScript{fmt.Sprintf("%d", status), answer(status, "", failureEvent)},
			namedScript{fmt.Sprintf("%d with an event stream", status), rawAnswer(status, header+chunkedHeader, chunk(failureEvent)+lastChunk)},
		)
	}
	next := event(brokenEvent)
	return append(
		list,
		namedScript{"204", rawAnswer(http.StatusNoContent, signedHeader, "")},
		namedScript{"304", rawAnswer(http.StatusNotModified, signedHeader, "")},
		namedScript{"JSON", answer(http.StatusOK, signedHeader+"Content-Type: application/json\r\n", "{\n\n\"error\": \"the server failed\"\n\n}\n\n")},
		namedScript{"plain text", answer(http.StatusOK, signedHeader+"Content-Type: text/plain\r\n", "the server failed\n\n")},
		namedScript{"a page", answer(http.StatusOK, signedHeader+"Content-Type: text/html\r\n", failurePage)},
		namedScript{"a page called events", answer(http.StatusOK, eventsHeader, failurePage)},
		namedScript{"events without a signature", answer(http.StatusOK, "", restOfStream(brokenEvent))},
		namedScript{"an error as an event", answer(http.StatusOK, eventsHeader, failureEvent)},
		namedScript{"an error as an event with an id", answer(http.StatusOK, eventsHeader, "id: error\n"+failureEvent)},
		namedScript{"an error without data", answer(http.StatusOK, eventsHeader, "event: error\n\n")},
		namedScript{"an event and an error", answer(http.StatusOK, eventsHeader, next+failureEvent)},
		namedScript{"the stream from its first event", answer(http.StatusOK, eventsHeader, restOfStream(1))},
		namedScript{"the stream from the event before", answer(http.StatusOK, eventsHeader, restOfStream(brokenEvent-1))},
		namedScript{"an event twice", rawAnswer(http.StatusOK, eventsHeader+chunkedHeader, chunk(next)+chunk(next)+chunk(restOfStream(brokenEvent+1))+lastChunk)},
		namedScript{"events without ids", answer(http.StatusOK, eventsHeader, strings.ReplaceAll(restOfStream(brokenEvent), "id:", "number:"))},
		namedScript{"the answer to another request", func(conn net.Conn, _ *http.Request) bool {
			writeAnswer(conn, http.StatusOK, "r-0", eventsHeader, restOfStream(brokenEvent))
			return false
		}},
		namedScript{"half a head", rawAnswer(http.StatusOK, "Content-Ty", "")},
		namedScript{"events without a head", func(conn net.Conn, _ *http.Request) bool {
			fmt.Fprint(conn, restOfStream(brokenEvent))
			return false
		}},
		namedScript{"a head as an event", rawAnswer(http.StatusOK, eventsHeader+chunkedHeader, chunk(failureHead+"\n\n")+lastChunk)},
		namedScript{"an event and a head", rawAnswer(http.StatusOK, eventsHeader+chunkedHeader, chunk(next+failureHead)+lastChunk)},
		namedScript{"an event and a head, without a length", rawAnswer(http.StatusOK, eventsHeader, next+failureHead)},
	)
}

// failuresAfterAnEvent are answers that begin with the next event of the stream.
func failuresAfterAnEvent() []namedScript {
	const header = eventsHeader + chunkedHeader
	next := event(brokenEvent)
	nextAndLater := func(later string) script {
		return func(conn net.Conn, received *http.Request) bool {
			rawAnswer(http.StatusOK, header, chunk(next))(conn, received)
			time.Sleep(partPause)
			fmt.Fprint(conn, later)
			return false
		}
	}
	return []namedScript{
		{"an error", nextAndLater(chunk(failureEvent) + lastChunk)},
		{"the same event", nextAndLater(chunk(next+restOfStream(brokenEvent+1)) + lastChunk)},
		{"a head", nextAndLater(chunk(failureHead) + lastChunk)},
		{"a head in place of a chunk", nextAndLater(failureHead)},
		{"nothing more", func(conn net.Conn, received *http.Request) bool {
			rawAnswer(http.StatusOK, header, chunk(next))(conn, received)
			return hang(conn, received)
		}},
	}
}

// continuations are answers that go on with the stream.
func continuations() []namedScript {
	rest := restOfStream(brokenEvent)
	return []namedScript{
		{"the rest with a length", answer(http.StatusOK, eventsHeader, rest)},
		{"the rest in chunks", rawAnswer(http.StatusOK, eventsHeader+chunkedHeader, chunk(rest)+lastChunk)},
		{"the rest without a length", rawAnswer(http.StatusOK, eventsHeader, rest)},
		{"the rest and a head after its end", rawAnswer(http.StatusOK, eventsHeader+chunkedHeader, chunk(rest)+lastChunk+failureHead)},
		{"another request's answer and the rest", func(conn net.Conn, received *http.Request) bool {
			writeAnswer(conn, http.StatusInternalServerError, "r-0", eventsHeader, failureEvent)
			return answer(http.StatusOK, eventsHeader, rest)(conn, received)
		}},
	}
}

// brokenInsideEvent ends inside an event, with the size of a chunk that can't be read. It
// does not count as a crash, after two of which a request is not sent again.
func brokenInsideEvent() script {
	return rawAnswer(http.StatusOK, eventsHeader+chunkedHeader, chunk(completeStream(brokenEvent)+event(brokenEvent)[:9])+"size\r\n")
}

// silentForAWhile sends nothing for so long that another server gets the request as well.
func silentForAWhile(conn net.Conn, received *http.Request) bool {
	rawAnswer(http.StatusOK, eventsHeader+chunkedHeader, chunk(completeStream(brokenEvent)))(conn, received)
	time.Sleep(silence)
	fmt.Fprint(conn, chunk(restOfStream(brokenEvent))+lastChunk)
	return false
}

// describeResumptions states for each form of the next server's answer what callers get
// whose stream broke off, alone, with a sound server after it, and while the first server
// is only silent for a while.
func describeResumptions(t *testing.T, forms []namedScript) []byte {
	broken := brokenInsideEvent()
	texts := make([]string, len(forms))
	var group sync.WaitGroup
	for i, form := range forms {
		group.Go(func() {
			alone := newTurnsFixture(t, broken, form.script).rawExchange(t, "/events/", shortTimeout)
			then := newTurnsFixture(t, broken, form.script, streamUntil(lastEvent+1, true)).rawExchange(t, "/events-thrice/", "")
			beside := newTurnsFixture(t, silentForAWhile, form.script).rawExchange(t, "/events/", "")
			texts[i] = fmt.Sprintf("The next server answers with %s.\n  no other: %s\n  then a sound one: %s\n  the first one goes on later: %s\n", form.name, alone, then, beside)
		})
	}
	group.Wait()
	return []byte(strings.Join(texts, ""))
}

// Guards against the text or the head of an error, and events that the caller already has,
// in a stream that broke off, since its next server answered with something else.
func TestResumedStreamHoldsOnlyItsEvents(t *testing.T) {
	convey.Convey("Given a stream that breaks off and each form of the next server's answer", t, func() {
		goldie.New(t).Assert(t, "resumed_streams", describeResumptions(t, append(failures(), continuations()...)))
	})
	for _, failure := range failuresAfterAnEvent() {
		convey.Convey("Given a next server that sends an event and then "+failure.name, t, func() {
			broken := brokenInsideEvent()
			convey.So(newTurnsFixture(t, broken, failure.script).rawExchange(t, "/events/", shortTimeout), convey.ShouldEqual, "its first events, broken off")
			fixture := newTurnsFixture(t, broken, failure.script, streamUntil(lastEvent+1, true))
			convey.So(fixture.rawExchange(t, "/events-thrice/", ""), convey.ShouldEqual, "the whole stream, complete")
		})
	}
}

// Guards against events that the caller gets twice because the last one that it has bears
// no id, so that the next server can't know where to go on.
func TestStreamWithoutPositionIsNotResumed(t *testing.T) {
	const header = eventsHeader + chunkedHeader
	unnumbered := func(text string) string { return strings.ReplaceAll(text, "id:", "number:") }
	begun := completeStream(brokenEvent)
	for name, events := range map[string]string{
		"events without ids":        unnumbered(begun),
		"a last event without id":   completeStream(brokenEvent-1) + unnumbered(event(brokenEvent-1)),
		"a last event of empty id":  completeStream(brokenEvent-1) + "id:\ndata: token\n\n",
		"a last event and comments": unnumbered(begun) + ": wait\n\n",
	} {
		for end, first := range map[string]script{
			"breaks off": rawAnswer(http.StatusOK, header, chunk(events)),
			"is silent": func(conn net.Conn, received *http.Request) bool {
				rawAnswer(http.StatusOK, header, chunk(events))(conn, received)
				return hang(conn, received)
			},
		} {
			convey.Convey(fmt.Sprintf("Given a stream with %s that %s", name, end), t, func() {
				got := newTurnsFixture(t, first, streamUntil(lastEvent+1, true)).rawExchange(t, "/events/", shortTimeout)
				convey.So(got, convey.ShouldEqual, fmt.Sprintf("other text %q, broken off", events))
			})
		}
	}
	convey.Convey("Given a stream with an event without id before others, the next server goes on", t, func() {
		begun := rawAnswer(http.StatusOK, header, chunk("data: hello\n\n"+completeStream(brokenEvent)))
		got := newTurnsFixture(t, begun, streamUntil(lastEvent+1, true)).rawExchange(t, "/events/", "")
		convey.So(got, convey.ShouldEqual, fmt.Sprintf("other text %q, complete", "data: hello\n\n"+completeStream(lastEvent+1)))
	})
	convey.Convey("Given a stream of which only a comment came, the next server begins it again", t, func() {
		begun := rawAnswer(http.StatusOK, header, chunk(": wait\n\n"))
		got := newTurnsFixture(t, begun, streamUntil(lastEvent+1, true)).rawExchange(t, "/events/", "")
		convey.So(got, convey.ShouldEqual, fmt.Sprintf("other text %q, complete", ": wait\n\n"+completeStream(lastEvent+1)))
	})
}

// Guards against a stream that ends as complete because a server answered with nothing: an
// error without a text, or an answer that broke off after its head.
func TestAnswerWithoutEventsEndsNoStream(t *testing.T) {
	const jsonHeader = signedHeader + "Content-Type: application/json\r\n"
	convey.Convey("Given a stream that breaks off, and a next server that answers with nothing", t, func() {
		goldie.New(t).Assert(t, "empty_answers", describeResumptions(t, []namedScript{
			{"length 0", answer(http.StatusOK, signedHeader, "")},
			{"JSON of length 0", answer(http.StatusOK, jsonHeader, "")},
			{"no chunks", rawAnswer(http.StatusOK, signedHeader+chunkedHeader, lastChunk)},
			{"no chunks of JSON", rawAnswer(http.StatusOK, jsonHeader+chunkedHeader, lastChunk)},
			{"a head that states events", rawAnswer(http.StatusOK, eventsHeader, "")},
			{"a head that states chunks", rawAnswer(http.StatusOK, eventsHeader+chunkedHeader, "")},
		}))
	})
	whole := rawAnswer(http.StatusOK, eventsHeader+chunkedHeader, chunk(completeStream(lastEvent+1)))
	for name, nothing := range map[string]script{
		"of length 0": answer(http.StatusOK, eventsHeader, ""),
		"in chunks":   rawAnswer(http.StatusOK, eventsHeader+chunkedHeader, lastChunk),
	} {
		convey.Convey("Given a stream that breaks off after its last event and an event stream without events "+name, t, func() {
			convey.So(newTurnsFixture(t, whole, nothing).rawExchange(t, "/events/", ""), convey.ShouldEqual, "the whole stream, complete")
		})
	}
	convey.Convey("Given a first server that breaks off after a head without a length", t, func() {
		broken, sound := rawAnswer(http.StatusOK, eventsHeader, ""), streamUntil(lastEvent+1, true)
		convey.So(newTurnsFixture(t, broken, sound).rawExchange(t, "/events/", ""), convey.ShouldEqual, "the whole stream, complete")
		convey.So(newTurnsFixture(t, broken, sound).rawExchange(t, "/events-once/", ""), convey.ShouldEqual, `HTTP/1.1 502 Bad Gateway and "answer lost\n"`)
	})
}

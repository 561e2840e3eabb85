package gateways

// This file checks that a server which continues a stream goes on where the stream broke
// off. The caller can't tell: it has the head of the first answer, and takes whatever
// follows for events of its stream.

import (
	"errors"
	"net/http"
	"strconv"
)

var (
	// errNoEventID is the error of a resumed stream with text that is no event of it, such
	// as an error message.
	errNoEventID = errors.New("resumed stream holds an event without an id")
	// errRepeatedEvent is the error of a resumed stream that begins too early.
	errRepeatedEvent = errors.New("resumed stream repeats an event")
	// errNoEvents is the error of a stream that ended without any event and may be broken.
	errNoEvents = errors.New("stream without events and without a sure end")
)

// checkContinuation returns an error if another server began the stream and not all of the
// events follow the last one that the caller has.
func (request *request) checkContinuation(attempt *attempt, events []byte) error {
	if !request.streaming || attempt.hasBegunStream {
		return nil
	}
	lastID := request.lastEventID
	for id := range eventIDs(events) {
		if id == "" {
			return errNoEventID
		}
		if !isLaterEvent(id, lastID) {
			return errRepeatedEvent
		}
		lastID = id
	}
	return nil
}

// isLaterEvent reports whether the event with the id follows the one with lastID. Ids that
// are no numbers have no order and need only differ.
func isLaterEvent(id, lastID string) bool {
	last, err := strconv.ParseInt(lastID, 10, 64)
	if err != nil {
		return id != lastID
	}
	number, err := strconv.ParseInt(id, 10, 64)
	return err == nil && number > last
}

// mayEndStream reports whether a complete answer without events is the end of the stream.
// One that only the end of its connection ends may have broken off after its head. A
// resumed stream may have no events left, but then its server states the type of the answer
// that began it.
func (request *request) mayEndStream(response *http.Response) bool {
	isFramed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	isSameType := response.Header.Get("Content-Type") == request.writer.Header().Get("Content-Type")
	return isFramed && (!request.streaming || isSameType)
}

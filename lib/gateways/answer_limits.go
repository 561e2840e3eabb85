package gateways

// A faulty server may send an answer that is too long or never ends, on many connections
// at the same time. This file bounds the heads and bodies of answers and the memory that
// all buffered answers take together. An answer that exceeds a bound is a failure: the
// part that was read must never pass for the whole.

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
)

const (
	// maxAnswerBytes bounds an answer that is buffered before it is relayed.
	maxAnswerBytes = 16 << 20
	// maxHeadBytes bounds the heads that are read until that of the answer to the request
	// is complete. A parsed head takes up to twenty times its length in memory.
	maxHeadBytes = 8 << 10
	// maxBufferedBytes bounds the buffers of all answers together beyond the first
	// unsharedBytes of each attempt. The smallest hosts of entries have 184 MB for about
	// 300 requests at the same time, and the garbage collector lets the heap grow to twice
	// what is in use. It suffices for one answer of maxAnswerBytes while its buffer grows.
	maxBufferedBytes = 24 << 20
	// unsharedBytes is how much each attempt may always buffer, so that the large answers
	// of a faulty server don't fail the usual answers, which have a few kilobytes.
	unsharedBytes = 32 << 10
	// firstBufferBytes is the initial size of the buffer for an answer.
	firstBufferBytes = 4 << 10
)

// Parts of an answer that have a bound.
const (
	partHead  = "head"
	partBody  = "body"
	partEvent = "event"
	partID    = "event id"
)

// errBufferBudget means that all buffered answers together take too much memory.
var errBufferBudget = errors.New("the buffers of all answers exceed their memory budget")

type (
	// tooLongError means that a part of an answer exceeds its bound.
	tooLongError struct {
		part  string
		limit int
	}

	// headReader reads from a connection and counts the bytes while a head is read.
	headReader struct {
		source    io.Reader
		isBounded bool
		bytesLeft int
	}

	// bufferBudget is the memory for the buffered answers of a gateway. It is safe for
	// concurrent use.
	bufferBudget struct{ usedBytes atomic.Int64 }

	// requestBuffers counts the memory of the buffers of one attempt. It is used by a
	// single goroutine: the one that reads the answer, and the request's own once the body
	// was passed on.
	requestBuffers struct {
		budget                  *bufferBudget
		totalBytes, sharedBytes int64
	}
)

// Error implements error.
func (err *tooLongError) Error() string {
	return fmt.Sprintf("the %s of the answer exceeds %d bytes", err.part, err.limit)
}

// Read implements io.Reader.
func (reader *headReader) Read(buffer []byte) (int, error) {
	if !reader.isBounded {
		return reader.source.Read(buffer)
	}
	if reader.bytesLeft <= 0 {
		return 0, &tooLongError{part: partHead, limit: maxHeadBytes}
	}
	count, err := reader.source.Read(buffer[:min(len(buffer), reader.bytesLeft)])
	reader.bytesLeft -= count
	return count, err
}

// readHead reads the head of one answer. It takes the length of the head from headBytesLeft
// and fails if that does not suffice.
func (conn *connection) readHead(method string, headBytesLeft *int) (*http.Response, error) {
	// Bytes that were read ahead belong to this head, and those that are read ahead of
	// the body do not.
	conn.head.bytesLeft = *headBytesLeft - conn.reader.Buffered()
	conn.head.isBounded = true
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
	conn.head.isBounded = false
	if err != nil && conn.head.bytesLeft <= 0 {
		// The parser may report the line that was cut off instead.
		err = &tooLongError{part: partHead, limit: maxHeadBytes}
	}
	*headBytesLeft = conn.head.bytesLeft + conn.reader.Buffered()
	return response, err
}

// skipBody reads an answer to another request to its end.
func skipBody(response *http.Response) error {
	count, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswerBytes+1))
	if err == nil && count > maxAnswerBytes {
		err = &tooLongError{part: partBody, limit: maxAnswerBytes}
	}
	return err
}

// readAnswerBody reads the body of an answer completely.
func (buffers *requestBuffers) readAnswerBody(response *http.Response) ([]byte, error) {
	if response.Body != http.NoBody && response.ContentLength > maxAnswerBytes {
		return nil, &tooLongError{part: partBody, limit: maxAnswerBytes}
	}
	limit := maxAnswerBytes
	if response.ContentLength >= 0 {
		limit = min(limit, int(response.ContentLength))
	}
	return buffers.readAll(response.Body, limit)
}

// readAll reads the source to its end. It fails if the source has more bytes than the
// limit.
func (buffers *requestBuffers) readAll(source io.Reader, limit int) ([]byte, error) {
	var buffer []byte
	for {
		if len(buffer) > limit {
			buffers.free(buffer)
			return nil, &tooLongError{part: partBody, limit: limit}
		}
		var err error
		if buffer, err = buffers.makeRoom(buffer, limit+1); err != nil {
			return nil, err
		}
		count, err := source.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+count]
		if err == io.EOF {
			return buffer, nil
		}
		if err != nil {
			buffers.free(buffer)
			return nil, err
		}
	}
}

// makeRoom returns the buffer, or a larger copy if it is full. The capacity is at most
// maxCapacity, which the length must not have reached. On failure the buffer is freed.
func (buffers *requestBuffers) makeRoom(buffer []byte, maxCapacity int) ([]byte, error) {
	if len(buffer) < cap(buffer) {
		return buffer, nil
	}
	capacity := min(max(2*cap(buffer), firstBufferBytes), maxCapacity)
	if !buffers.take(int64(capacity)) {
		buffers.free(buffer)
		return nil, errBufferBudget
	}
	larger := append(make([]byte, 0, capacity), buffer...)
	buffers.free(buffer)
	return larger, nil
}

// take counts a buffer of the request. It returns false if the budget does not suffice.
func (buffers *requestBuffers) take(count int64) bool {
	shared := max(0, buffers.totalBytes+count-unsharedBytes)
	if !buffers.budget.take(shared - buffers.sharedBytes) {
		return false
	}
	buffers.totalBytes += count
	buffers.sharedBytes = shared
	return true
}

// free counts the buffer as no longer used.
func (buffers *requestBuffers) free(buffer []byte) {
	buffers.totalBytes -= int64(cap(buffer))
	shared := max(0, buffers.totalBytes-unsharedBytes)
	buffers.budget.give(buffers.sharedBytes - shared)
	buffers.sharedBytes = shared
}

// freeAll ends the use of all buffers of the request.
func (buffers *requestBuffers) freeAll() {
	buffers.budget.give(buffers.sharedBytes)
	buffers.totalBytes, buffers.sharedBytes = 0, 0
}

// freeBuffers ends the use of the bodies that were passed on to the request.
func (request *request) freeBuffers() {
	for _, buffers := range request.buffers {
		buffers.freeAll()
	}
}

// take takes the bytes from the budget, or none of them and returns false.
func (budget *bufferBudget) take(count int64) bool {
	if budget.usedBytes.Add(count) <= maxBufferedBytes || count == 0 {
		return true
	}
	budget.usedBytes.Add(-count)
	return false
}

func (budget *bufferBudget) give(count int64) { budget.usedBytes.Add(-count) }

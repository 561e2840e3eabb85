package gateways

// A faulty server may send an answer that is too long or never ends, on many connections
// at the same time. This file bounds the heads and bodies of answers, and takes the memory of
// what is buffered from the account of the caller who asked. An answer that exceeds a bound
// is a failure: the part that was read must never pass for the whole.

import (
	"fmt"
	"io"
	"net/http"

	"firford/lib/budgets"
)

const (
	// maxAnswerBytes bounds an answer that is buffered before it is relayed.
	maxAnswerBytes = 16 << 20
	// maxHeadBytes bounds the heads that are read until that of the answer to the request
	// is complete. A parsed head takes up to twenty times its length in memory.
	maxHeadBytes = 8 << 10
	// firstBufferBytes is the initial size of the buffer for a body.
	firstBufferBytes = 4 << 10
)

// Parts of an answer that have a bound.
const (
	partHead  = "head"
	partBody  = "body"
	partEvent = "event"
	partID    = "event id"
)

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

	// buffers counts the memory of the buffers of one body on the account of the caller. It
	// is used by a single goroutine: the one that reads the body, and the request's own once
	// the body of an answer was passed on.
	buffers struct {
		account    *budgets.Account
		kind       budgets.Kind
		totalBytes int64
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
func (buffers *buffers) readAnswerBody(response *http.Response) ([]byte, error) {
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
func (buffers *buffers) readAll(source io.Reader, limit int) ([]byte, error) {
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
func (buffers *buffers) makeRoom(buffer []byte, maxCapacity int) ([]byte, error) {
	if len(buffer) < cap(buffer) {
		return buffer, nil
	}
	capacity := min(max(2*cap(buffer), firstBufferBytes), maxCapacity)
	if err := buffers.take(int64(capacity)); err != nil {
		buffers.free(buffer)
		return nil, fmt.Errorf("buffer a body: %w", err)
	}
	larger := append(make([]byte, 0, capacity), buffer...)
	buffers.free(buffer)
	return larger, nil
}

// take counts a buffer.
func (buffers *buffers) take(count int64) error {
	if err := buffers.account.Take(buffers.kind, count); err != nil {
		return err
	}
	buffers.totalBytes += count
	return nil
}

// free counts the buffer as no longer used.
func (buffers *buffers) free(buffer []byte) {
	buffers.totalBytes -= int64(cap(buffer))
	buffers.account.Give(buffers.kind, int64(cap(buffer)))
}

// freeAll ends the use of all buffers.
func (buffers *buffers) freeAll() {
	buffers.account.Give(buffers.kind, buffers.totalBytes)
	buffers.totalBytes = 0
}

// freeBuffers ends the use of the bodies that were passed on to the request.
func (request *request) freeBuffers() {
	for _, buffers := range request.buffers {
		buffers.freeAll()
	}
}

package engines

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxLineBytes bounds one line of a stream; a token has a few bytes.
const maxLineBytes = 64 << 10

var errLineTooLong = fmt.Errorf("line of a stream above %d bytes", maxLineBytes)

type (
	// decoder checks the lines of one stream: tokens in sequence without gaps or
	// repetitions, then one final line that counts them. It is immutable.
	decoder struct {
		next  int
		ended bool
	}

	// event is a decoded line: tokenEvent or doneEvent.
	event interface {
		event()
	}

	tokenEvent struct{ token Token }

	doneEvent struct{ completion Completion }

	streamLine struct {
		Sequence *int    `json:"seq"`
		Token    *string `json:"token"`
		Done     bool    `json:"done"`
		Tokens   *int    `json:"tokens"`
		Version  string  `json:"version"`
		Error    string  `json:"error"`
	}
)

func (tokenEvent) event() {}
func (doneEvent) event()  {}

// newDecoder returns the decoder of a stream that follows the token.
func newDecoder(resumeFrom int) decoder {
	return decoder{next: resumeFrom + 1}
}

// With returns the decoder after the line and what the line says.
func (state decoder) With(line []byte) (decoder, event, error) {
	if state.ended {
		return state, nil, errors.New("line after the end of the answer")
	}
	var decoded streamLine
	if err := json.Unmarshal(line, &decoded); err != nil {
		return state, nil, fmt.Errorf("line of a stream: %w", err)
	}
	switch {
	case decoded.Error != "":
		return state, nil, fmt.Errorf("backend server ended the answer: %q", decoded.Error)
	case decoded.Done:
		return state.end(decoded)
	case decoded.Sequence == nil || decoded.Token == nil:
		return state, nil, errors.New("line of a stream is neither a token nor an end")
	case *decoded.Sequence != state.next:
		return state, nil, fmt.Errorf("token %d where %d was due", *decoded.Sequence, state.next)
	default:
		token := Token{Sequence: state.next, Text: *decoded.Token}
		return decoder{next: state.next + 1}, tokenEvent{token: token}, nil
	}
}

func (state decoder) end(decoded streamLine) (decoder, event, error) {
	if decoded.Tokens == nil || *decoded.Tokens != state.next-1 {
		return state, nil, fmt.Errorf("answer ends after %d tokens with another count", state.next-1)
	}
	return decoder{next: state.next, ended: true}, doneEvent{completion: Completion{Tokens: *decoded.Tokens, Version: decoded.Version}}, nil
}

// readLine returns the next line without its end. The slice is valid until the
// next read.
func readLine(reader *bufio.Reader) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	switch {
	case err == nil:
		return line[:len(line)-1], nil
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, errLineTooLong
	case errors.Is(err, io.EOF):
		return nil, io.ErrUnexpectedEOF
	default:
		return nil, err
	}
}

package engines

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxLineBytes limits one line of a stream; a token has a few bytes.
const maxLineBytes = 64 << 10

var errLineTooLong = fmt.Errorf("stream line exceeds %d bytes", maxLineBytes)

type (
	// decoder checks the lines of one stream: tokens in sequence without gaps or
	// repetitions, followed by a final line that counts them. It is immutable.
	decoder struct {
		next  int
		ended bool
	}

	// event is a decoded line: a tokenEvent or a doneEvent.
	event interface {
		isEvent()
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

func (tokenEvent) isEvent() {}
func (doneEvent) isEvent()  {}

// newDecoder returns a decoder that expects the token after resumeFrom.
func newDecoder(resumeFrom int) decoder {
	return decoder{next: resumeFrom + 1}
}

// decodeLine returns the decoder for the next line and the decoded event.
func (state decoder) decodeLine(line []byte) (decoder, event, error) {
	if state.ended {
		return state, nil, errors.New("unexpected line after the final line of the stream")
	}
	var decoded streamLine
	if err := json.Unmarshal(line, &decoded); err != nil {
		return state, nil, fmt.Errorf("decode stream line: %w", err)
	}
	switch {
	case decoded.Error != "":
		return state, nil, fmt.Errorf("backend server ended the stream with error %q", decoded.Error)
	case decoded.Done:
		return state.decodeFinalLine(decoded)
	case decoded.Sequence == nil || decoded.Token == nil:
		return state, nil, errors.New("stream line is neither a token nor a final line")
	case *decoded.Sequence != state.next:
		return state, nil, fmt.Errorf("received token %d, expected token %d", *decoded.Sequence, state.next)
	default:
		token := Token{Sequence: state.next, Text: *decoded.Token}
		return decoder{next: state.next + 1}, tokenEvent{token: token}, nil
	}
}

func (state decoder) decodeFinalLine(decoded streamLine) (decoder, event, error) {
	if decoded.Tokens == nil || *decoded.Tokens != state.next-1 {
		return state, nil, fmt.Errorf("final line doesn't count the %d tokens that were received", state.next-1)
	}
	return decoder{next: state.next, ended: true}, doneEvent{completion: Completion{Tokens: *decoded.Tokens, Version: decoded.Version}}, nil
}

// readLine returns the next line without its newline. The slice is valid until
// the next read.
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

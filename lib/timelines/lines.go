// Package timelines explains a request from the logs of entries and agents: it
// joins the lines of one request with what the processes and engines around it
// did, orders them by time and names the cause of its end.
package timelines

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

const (
	// mostLineBytes bounds a line; longer ones are counted as unreadable.
	mostLineBytes = 64 << 10

	fieldTime    = "time"
	fieldEvent   = "event"
	fieldProcess = "process"
	fieldRequest = "request_id"
)

var errNoTime = errors.New("line without a time")

type (
	// Line is one event of a log. Location is where it stands, as FILE:LINE.
	Line struct {
		Time     time.Time
		Process  string
		Event    string
		Location string
		Fields   map[string]string
		order    []string
	}

	// RequestLog is what was read of logs for one request: the lines of the request, and
	// those of the processes that belong to no request. Unreadable lines are counted.
	RequestLog struct {
		RequestID       string
		RequestLines    []Line
		ProcessLines    []Line
		LinesRead       int
		UnreadableLines []UnreadableLine
		skipped         int
	}

	// UnreadableLine is a line that could not be read, and why.
	UnreadableLine struct {
		Location string `json:"place"`
		Problem  string `json:"problem"`
	}
)

// mostFindings bounds the unreadable lines that are kept with their place.
const mostFindings = 20

// NewRequestLog returns an empty log for the request.
func NewRequestLog(requestID string) *RequestLog { return &RequestLog{RequestID: requestID} }

// UnreadableCount returns how many lines could not be read.
func (log *RequestLog) UnreadableCount() int { return len(log.UnreadableLines) + log.skipped }

// AddLog reads a log. Text before the time of a line, as collectors of logs put it
// there, is left out. Errors are those of the reader; unreadable lines are only
// counted.
func (log *RequestLog) AddLog(reader io.Reader, name string) error {
	buffered := bufio.NewReaderSize(reader, mostLineBytes)
	for number := 1; ; number++ {
		text, err := readLine(buffered)
		if len(text) > 0 {
			log.take(text, fmt.Sprintf("%s:%d", name, number))
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%s:%d: %w", name, number, err)
		}
	}
}

// readLine returns a line, cut where it is too long.
func readLine(reader *bufio.Reader) ([]byte, error) {
	text, tooLong, err := reader.ReadLine()
	line := bytes.Clone(text)
	for tooLong && err == nil {
		_, tooLong, err = reader.ReadLine()
	}
	return line, err
}

func (log *RequestLog) take(text []byte, place string) {
	log.LinesRead++
	isOurs := bytes.Contains(text, []byte(fieldRequest+"="+log.RequestID))
	if !isOurs && bytes.Contains(text, []byte(" "+fieldRequest+"=")) {
		return
	}
	line, err := parse(text, place)
	switch {
	case err != nil && len(log.UnreadableLines) < mostFindings:
		log.UnreadableLines = append(log.UnreadableLines, UnreadableLine{Location: place, Problem: err.Error()})
	case err != nil:
		log.skipped++
	case line.Fields[fieldRequest] == log.RequestID:
		log.RequestLines = append(log.RequestLines, line)
	case line.Fields[fieldRequest] == "":
		log.ProcessLines = append(log.ProcessLines, line)
	}
}

// parse reads one line of key=value pairs.
func parse(text []byte, place string) (Line, error) {
	at := bytes.Index(text, []byte(fieldTime+"="))
	if at < 0 {
		return Line{}, errNoTime
	}
	line := Line{Location: place, Fields: map[string]string{}}
	decoder := logfmt.NewDecoder(bytes.NewReader(text[at:]))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			key := string(decoder.Key())
			line.Fields[key] = string(decoder.Value())
			line.order = append(line.order, key)
		}
	}
	if err := decoder.Err(); err != nil {
		return Line{}, err
	}
	stamp, err := time.Parse(time.RFC3339Nano, line.Fields[fieldTime])
	if err != nil {
		return Line{}, err
	}
	line.Time = stamp
	line.Event = line.Fields[fieldEvent]
	line.Process = line.Fields[fieldProcess]
	return line, nil
}

// details returns the fields that say more than the line's columns do.
func (line Line) details() string {
	var parts []string
	for _, key := range line.order {
		switch key {
		case fieldTime, fieldEvent, fieldProcess, fieldRequest, "level":
			continue
		}
		value := line.Fields[key]
		if value == "" || value == "[]" || value == "false" {
			continue
		}
		if strings.ContainsAny(value, " =\"") {
			value = fmt.Sprintf("%q", value)
		}
		parts = append(parts, key+"="+value)
	}
	return strings.Join(parts, " ")
}

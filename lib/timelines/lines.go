// Package timelines explains the outcome of a request from the logs of entries and
// agents. It merges the log lines of the request with those of the processes and
// engines that were involved, sorts them by time and derives the causes. It also counts
// the requests in the logs of entries by second, route, organisation and data centre.
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
	// maxLineBytes limits the length of a line. A longer one is unreadable: its first
	// part might parse and lack the fields that count.
	maxLineBytes = 64 << 10

	fieldTime    = "time"
	fieldEvent   = "event"
	fieldProcess = "process"
	fieldRequest = "request_id"
)

var (
	errNoTime      = errors.New("line without a time")
	errLineTooLong = fmt.Errorf("line of more than %d bytes", maxLineBytes)
)

type (
	// Line is one line of a log. Location is its place in the logs, as FILE:LINE.
	Line struct {
		Time       time.Time
		Process    string
		Event      string
		Location   string
		Fields     map[string]string
		fieldOrder []string
	}

	// RequestLog holds the log lines for one request: those of the request itself,
	// and those of processes that belong to no request.
	RequestLog struct {
		RequestID    string
		RequestLines []Line
		ProcessLines []Line
		LineCounts
	}

	// LineCounts counts the lines of logs. LinesRead counts all lines that were read, and
	// UnreadableLines lists the first unreadable ones.
	LineCounts struct {
		LinesRead         int
		UnreadableLines   []UnreadableLine
		unreadableNotKept int
	}

	// location is the place of a line in the logs.
	location struct {
		name   string
		number int
	}

	// UnreadableLine is the location of a line that could not be parsed, and why.
	UnreadableLine struct {
		Location string `json:"place"`
		Problem  string `json:"problem"`
	}
)

// maxUnreadableLines limits the unreadable lines that are kept with their location.
// Further ones are only counted.
const maxUnreadableLines = 20

// NewRequestLog returns an empty log for the request.
func NewRequestLog(requestID string) *RequestLog { return &RequestLog{RequestID: requestID} }

func (location location) String() string {
	return fmt.Sprintf("%s:%d", location.name, location.number)
}

// UnreadableCount returns how many lines could not be parsed.
func (counts *LineCounts) UnreadableCount() int {
	return len(counts.UnreadableLines) + counts.unreadableNotKept
}

// AddLog reads a log and adds its lines. Text before the time field of a line, such
// as a prefix of a log collector, is ignored. It returns only errors of the reader;
// unreadable lines are counted instead.
func (log *RequestLog) AddLog(reader io.Reader, name string) error {
	return log.readLines(reader, name, log.addLine)
}

// readLines reads a log as a stream and passes each line that is not empty to add. The
// text is valid during the call. It returns only errors of the reader.
func (counts *LineCounts) readLines(reader io.Reader, name string, add func(text []byte, location location)) error {
	buffered := bufio.NewReaderSize(reader, maxLineBytes)
	for location := (location{name: name, number: 1}); ; location.number++ {
		text, isTooLong, err := readLine(buffered)
		switch {
		case isTooLong:
			counts.LinesRead++
			counts.recordUnreadable(location, errLineTooLong)
		case len(text) > 0:
			counts.LinesRead++
			add(text, location)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%s: %w", location, err)
		}
	}
}

// readLine returns the next line, which is valid until the next call, or that it is too
// long.
func readLine(reader *bufio.Reader) (line []byte, isTooLong bool, err error) {
	line, isTooLong, err = reader.ReadLine()
	for hasMore := isTooLong; hasMore && err == nil; {
		_, hasMore, err = reader.ReadLine()
	}
	return line, isTooLong, err
}

// addLine parses a line and adds it, unless it belongs to another request.
func (log *RequestLog) addLine(text []byte, location location) {
	hasRequestID := bytes.Contains(text, []byte(fieldRequest+"="+log.RequestID))
	if !hasRequestID && bytes.Contains(text, []byte(" "+fieldRequest+"=")) {
		return
	}
	line, err := parseLine(text, location)
	switch {
	case err != nil:
		log.recordUnreadable(location, err)
	case line.Fields[fieldRequest] == log.RequestID:
		log.RequestLines = append(log.RequestLines, line)
	case line.Fields[fieldRequest] == "":
		log.ProcessLines = append(log.ProcessLines, line)
	}
}

// recordUnreadable counts a line that could not be parsed, and keeps the first ones.
func (counts *LineCounts) recordUnreadable(location location, err error) {
	if len(counts.UnreadableLines) == maxUnreadableLines {
		counts.unreadableNotKept++
		return
	}
	counts.UnreadableLines = append(counts.UnreadableLines, UnreadableLine{Location: location.String(), Problem: err.Error()})
}

// parseLine parses one line of key=value pairs.
func parseLine(text []byte, location location) (Line, error) {
	start := bytes.Index(text, []byte(fieldTime+"="))
	if start < 0 {
		return Line{}, errNoTime
	}
	line := Line{Location: location.String(), Fields: map[string]string{}}
	decoder := logfmt.NewDecoder(bytes.NewReader(text[start:]))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			key := string(decoder.Key())
			line.Fields[key] = string(decoder.Value())
			line.fieldOrder = append(line.fieldOrder, key)
		}
	}
	if err := decoder.Err(); err != nil {
		return Line{}, err
	}
	timestamp, err := time.Parse(time.RFC3339Nano, line.Fields[fieldTime])
	if err != nil {
		return Line{}, err
	}
	line.Time = timestamp
	line.Event = line.Fields[fieldEvent]
	line.Process = line.Fields[fieldProcess]
	return line, nil
}

// details returns the fields that have no column of their own, in the order of the
// line. It omits the level, and fields that are empty or false.
func (line Line) details() string {
	var parts []string
	for _, key := range line.fieldOrder {
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

package timelines

// This file counts the requests in logs of entries by second, route, organisation and
// process. The memory that it needs does not grow with the logs.

import (
	"bytes"
	"errors"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxIntervals bounds the rows by time. When it is reached, each row comes to cover
	// twice the time, so that a log of any length has rows for its whole time.
	maxIntervals = 3600
	// maxGroups bounds the routes, organisations and processes that have a row. The designed
	// fleet has 350 entries and about 900 routes.
	maxGroups = 2048
	// maxNameBytes bounds the length of a name that has a row.
	maxNameBytes = 128
	// otherGroups is the name of the row for all that have none of their own.
	otherGroups = "(others)"

	// longestWait is the highest wait that is told apart from longer ones. Callers give
	// up earlier. The digits make quantiles exact to 1%.
	longestWait = time.Minute
	waitDigits  = 2
	// longestRequest is the highest age of a request that its line is believed.
	longestRequest = 24 * time.Hour
	// maxMissing is the highest number of missing lines that a line is believed. A process
	// writes some hundred a second, and sums of such numbers can't overflow.
	maxMissing = 1_000_000_000

	eventLinesDropped = "log lines dropped"
	reasonNoPlace     = "no place in time"
	statusRefused     = "503"
)

var (
	errNoEvent = errors.New("line without an event")
	errNoAge   = errors.New("request ended without a readable age (after)")
	errNoCount = errors.New("missing lines without a readable number")
	// The marks tell lines that are counted from the others, which need not be parsed.
	markRequestEnded = []byte(`event="` + eventRequestEnded + `"`)
	markStarted      = []byte("event=" + eventProcessStarted + " ")
	markDropped      = []byte(`event="` + eventLinesDropped + `"`)
	markTime         = []byte(fieldTime + "=")
	markEvent        = []byte(fieldEvent + "=")
)

type (
	// LoadLog counts the requests in logs of entries.
	LoadLog struct {
		LineCounts
		total         loadCounts
		intervals     map[int64]*loadCounts
		routes        loadGroups
		organisations loadGroups
		processes     loadGroups
		// dataCentres maps processes to their data centres.
		dataCentres map[string]string
		// intervalBits is the binary logarithm of the seconds that an interval covers.
		intervalBits uint
		linesDropped int64
	}

	// loadGroups holds counts by the name of what they belong to.
	loadGroups map[string]*loadCounts

	// loadCounts counts requests. Each arrival is counted in exactly one of the fields from
	// placedAtOnce to rejected. leftOut counts the requests that have no line in the log.
	loadCounts struct {
		arrivals         int64
		placedAtOnce     int64
		waited           int64
		refusedOnArrival int64
		refusedAfterWait int64
		gaveUp           int64
		rejected         int64
		unanswered       int64
		late             int64
		retries          int64
		repeated         int64
		leftOut          int64
		// waits holds the waits of waited in milliseconds, nil if there are none.
		waits *hdrhistogram.Histogram
	}

	// loadRequest is what one line tells about a request.
	loadRequest struct {
		arrivedAt time.Time
		counts    loadCounts
		// wait is how long a request waited that then got a server.
		wait time.Duration
	}
)

// NewLoadLog returns a log without requests.
func NewLoadLog() *LoadLog {
	return &LoadLog{
		intervals: map[int64]*loadCounts{}, routes: loadGroups{}, organisations: loadGroups{}, processes: loadGroups{},
		dataCentres: map[string]string{},
	}
}

// AddLog reads a log as a stream and counts its requests. Text before the time field of
// a line is ignored. It returns only errors of the reader; unreadable lines are counted.
func (log *LoadLog) AddLog(reader io.Reader, name string) error {
	return log.readLines(reader, name, func(text []byte, location location) {
		if err := log.addLine(text, location); err != nil {
			log.recordUnreadable(location, err)
		}
	})
}

// addLine counts what the line tells. Lines that are not counted are only checked for a
// time and an event.
func (log *LoadLog) addLine(text []byte, location location) error {
	switch {
	case bytes.Contains(text, markRequestEnded):
		return log.addParsed(text, location, log.addRequest)
	case bytes.Contains(text, markStarted):
		return log.addParsed(text, location, log.addStart)
	case bytes.Contains(text, markDropped):
		return log.addDropped(text)
	case !bytes.Contains(text, markTime):
		return errNoTime
	case !bytes.Contains(text, markEvent):
		return errNoEvent
	default:
		return nil
	}
}

func (log *LoadLog) addParsed(text []byte, location location, add func(Line) error) error {
	line, err := parseLine(text, location)
	if err != nil {
		return err
	}
	return add(line)
}

// addDropped counts the lines that a process could not write. This line has no time.
func (log *LoadLog) addDropped(text []byte) error {
	_, number, _ := strings.Cut(string(text), " lines=")
	dropped, err := parseMissing(strings.TrimSpace(number))
	if err != nil {
		return err
	}
	log.linesDropped += dropped
	return nil
}

// parseMissing returns the number of missing lines that a line states.
func parseMissing(text string) (int64, error) {
	missing, err := strconv.ParseInt(text, 10, 64)
	if err != nil || missing < 0 || missing > maxMissing {
		return 0, errNoCount
	}
	return missing, nil
}

// addStart records the data centre of a process.
func (log *LoadLog) addStart(line Line) error {
	dataCentre := line.Fields["data_centre"]
	_, isKnown := log.dataCentres[line.Process]
	if dataCentre != "" && (isKnown || len(log.dataCentres) < maxGroups) {
		log.dataCentres[line.Process] = dataCentre
	}
	return nil
}

// addRequest counts a request that has ended.
func (log *LoadLog) addRequest(line Line) error {
	if line.Event != eventRequestEnded {
		return nil
	}
	request, err := newLoadRequest(line)
	if err != nil {
		return err
	}
	for _, counts := range []*loadCounts{
		&log.total, log.interval(request.arrivedAt), log.routes.named(line.Fields["route"]),
		log.organisations.named(line.Fields["organisation"]), log.processes.named(line.Process),
	} {
		counts.add(&request.counts)
		counts.recordWait(request.wait)
	}
	return nil
}

// interval returns the counts of the time in which the request arrived.
func (log *LoadLog) interval(arrivedAt time.Time) *loadCounts {
	for {
		number := arrivedAt.Unix() >> log.intervalBits
		if counts, found := log.intervals[number]; found {
			return counts
		}
		if len(log.intervals) < maxIntervals {
			log.intervals[number] = &loadCounts{}
			return log.intervals[number]
		}
		log.doubleIntervals()
	}
}

// doubleIntervals makes each interval cover twice the time.
func (log *LoadLog) doubleIntervals() {
	doubled := make(map[int64]*loadCounts, len(log.intervals))
	for number, counts := range log.intervals {
		if first, found := doubled[number>>1]; found {
			first.add(counts)
		} else {
			doubled[number>>1] = counts
		}
	}
	log.intervals = doubled
	log.intervalBits++
}

// named returns the counts of the name. Those without a row of their own share one.
func (groups loadGroups) named(name string) *loadCounts {
	counts, found := groups[name]
	if found {
		return counts
	}
	if len(groups) >= maxGroups || len(name) > maxNameBytes {
		name = otherGroups
	}
	if groups[name] == nil {
		groups[name] = &loadCounts{}
	}
	return groups[name]
}

// newLoadRequest classifies the request of a line.
func newLoadRequest(line Line) (loadRequest, error) {
	age, err := strconv.ParseFloat(line.Fields["after"], 64)
	if err != nil || math.IsNaN(age) || age < 0 || age > longestRequest.Seconds() {
		return loadRequest{}, errNoAge
	}
	request := loadRequest{arrivedAt: line.Time.Add(-seconds(line, "after"))}
	counts := &request.counts
	counts.arrivals = 1
	servers := countServers(line.Fields["servers"])
	hasWaited := line.Fields["waited"] != ""
	reason := line.Fields["reason"]
	switch status := line.Fields["status"]; {
	case servers > 0 && hasWaited:
		counts.waited = 1
		request.wait = seconds(line, "waited")
	case servers > 0:
		counts.placedAtOnce = 1
	case status == "":
		counts.gaveUp = 1
	case status == statusRefused && (hasWaited || reason == reasonNoPlace):
		counts.refusedAfterWait = 1
	case status == statusRefused:
		counts.refusedOnArrival = 1
	default:
		counts.rejected = 1
	}
	counts.retries = max(0, servers-1)
	counts.unanswered = countIf(servers > 0 && reason != "")
	counts.late = countIf(line.Fields["late"] == "true")
	counts.repeated = countIf(line.Fields["asked_before"] != "")
	if leftOut := line.Fields["left_out"]; leftOut != "" {
		counts.leftOut, err = parseMissing(leftOut)
	}
	return request, err
}

func countIf(condition bool) int64 {
	if condition {
		return 1
	}
	return 0
}

// countServers returns the number of servers in a field such as [i-a,i-b].
func countServers(field string) int64 {
	list := strings.Trim(field, "[]")
	if list == "" {
		return 0
	}
	return int64(strings.Count(list, ",") + 1)
}

// add adds the counts and waits of others.
func (counts *loadCounts) add(others *loadCounts) {
	counts.arrivals += others.arrivals
	counts.placedAtOnce += others.placedAtOnce
	counts.waited += others.waited
	counts.refusedOnArrival += others.refusedOnArrival
	counts.refusedAfterWait += others.refusedAfterWait
	counts.gaveUp += others.gaveUp
	counts.rejected += others.rejected
	counts.unanswered += others.unanswered
	counts.late += others.late
	counts.retries += others.retries
	counts.repeated += others.repeated
	counts.leftOut += others.leftOut
	switch {
	case others.waits == nil:
	case counts.waits == nil:
		counts.waits = hdrhistogram.Import(others.waits.Export())
	default:
		counts.waits.Merge(others.waits)
	}
}

// recordWait records the wait of a request that waited and got a server.
func (counts *loadCounts) recordWait(wait time.Duration) {
	if wait <= 0 {
		return
	}
	if counts.waits == nil {
		counts.waits = hdrhistogram.New(1, longestWait.Milliseconds(), waitDigits)
	}
	_ = counts.waits.RecordValue(min(wait, longestWait).Milliseconds()) // Fails only on values out of its range.
}

// waitQuantile returns the wait that this percentage of the requests that waited did not
// exceed.
func (counts *loadCounts) waitQuantile(percentage float64) time.Duration {
	if counts.waits == nil {
		return 0
	}
	return time.Duration(counts.waits.ValueAtQuantile(percentage)) * time.Millisecond
}

// coverage returns the share of the requests that have a line.
func (counts *loadCounts) coverage() float64 {
	if counts.arrivals == 0 {
		return 0
	}
	return float64(counts.arrivals) / float64(counts.arrivals+counts.leftOut)
}

// sumByDataCentre returns the counts by data centre. Its name is empty for processes whose
// start is in no log.
func (log *LoadLog) sumByDataCentre() loadGroups {
	sums := loadGroups{}
	for process, counts := range log.processes {
		sums.named(log.dataCentres[process]).add(counts)
	}
	return sums
}

// intervalName returns the beginning of an interval as text.
func (log *LoadLog) intervalName(number int64) string {
	return time.Unix(number<<log.intervalBits, 0).UTC().Format(time.RFC3339)
}

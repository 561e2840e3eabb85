package timelines

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/smartystreets/goconvey/convey"
)

// endedLine returns the line of a request that arrived so long after the start.
func endedLine(after time.Duration, route string) string {
	at := time.Date(2026, 12, 3, 10, 0, 0, 0, time.UTC).Add(after)
	return fmt.Sprintf("time=%s event=\"request ended\" process=p status=200 route=%s servers=[a] after=0 waited=0.5\n", at.Format(time.RFC3339Nano), route)
}

// Guards against requests that are counted in a wrong column, second or data centre, and
// against unnoticed changes of the tables, which programs read as JSON.
func TestLoadTables(t *testing.T) {
	convey.Convey("Given logs with a prefix, an unreadable line and a late start of an entry", t, func() {
		file, err := os.Open("testdata/load.log")
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = file.Close() }()
		log := NewLoadLog()
		convey.So(log.AddLog(file, "load.log"), convey.ShouldBeNil)
		report := log.Report()
		var out bytes.Buffer
		report.Print(&out)
		encoded, err := json.MarshalIndent(report, "", "  ")
		convey.So(err, convey.ShouldBeNil)
		goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "load", out.Bytes())
		goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "load_json", encoded)
	})
}

// Guards against memory that grows with the log, and against requests that are lost when
// rows are merged to prevent that.
func TestLoadOfLongLogsIsMerged(t *testing.T) {
	convey.Convey("Given more seconds and routes than have rows", t, func() {
		const requests = 3*maxIntervals - 1
		var text strings.Builder
		for i := range requests {
			text.WriteString(endedLine(time.Duration(i)*time.Second, fmt.Sprint("r", i)))
		}
		log := NewLoadLog()
		convey.So(log.AddLog(strings.NewReader(text.String()), "log"), convey.ShouldBeNil)
		report := log.Report()
		convey.So(report.IntervalSeconds, convey.ShouldEqual, 4)
		convey.So(len(report.Intervals), convey.ShouldEqual, (requests+3)/4)
		convey.So(report.Intervals[1].Arrivals, convey.ShouldEqual, 4)
		convey.So(report.Intervals[1].Name, convey.ShouldEqual, "2026-12-03T10:00:04Z")
		convey.So(report.Intervals[1].WaitP95, convey.ShouldAlmostEqual, 500*time.Millisecond, 5*time.Millisecond)
		convey.So(len(report.Routes), convey.ShouldEqual, maxGroups+1)
		convey.So(report.Routes[0].Name, convey.ShouldEqual, otherGroups)
		convey.So(report.Routes[0].Arrivals, convey.ShouldEqual, requests-maxGroups)
	})
}

// Guards against numbers in damaged lines that overflow the sums, after which the share of
// requests that are counted would be negative or above 1.
func TestLoadSumsDoNotOverflow(t *testing.T) {
	convey.Convey("Given two lines that state the highest numbers of missing ones", t, func() {
		ended := strings.TrimSpace(endedLine(0, "r")) + fmt.Sprintf(" left_out=%d\n", math.MaxInt64)
		dropped := fmt.Sprintf("event=\"log lines dropped\" lines=%d\n", math.MaxInt64)
		log := NewLoadLog()
		convey.So(log.AddLog(strings.NewReader(strings.Repeat(ended+dropped, 2)), "log"), convey.ShouldBeNil)
		report := log.Report()
		convey.So(*report.Total.Covered, convey.ShouldBeBetweenOrEqual, 0, 1)
		convey.So(report.LinesDropped, convey.ShouldBeGreaterThanOrEqualTo, 0)
		convey.So(report.UnreadableCount, convey.ShouldEqual, 4)
	})
}

// Guards against log contents that make the program panic or never end.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(endedLine(0, "r")))
	f.Add([]byte("time=0000-01-01T00:00:00Z event=\"request ended\" after=1e300 servers=[ left_out=-9\n"))
	f.Fuzz(func(_ *testing.T, text []byte) {
		log := NewLoadLog()
		_ = log.AddLog(bytes.NewReader(text), "log")
		log.Report().Print(&bytes.Buffer{})
	})
}

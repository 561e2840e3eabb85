package timelines

import (
	"bytes"
	"encoding/json"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/smartystreets/goconvey/convey"
)

// readLogs returns the lines for the request in the logs of testdata.
func readLogs(t *testing.T, id string) *RequestLog {
	t.Helper()
	log := NewRequestLog(id)
	for _, name := range []string{"entry.log", "agent.log"} {
		file, err := os.Open("testdata/" + name)
		if err != nil {
			t.Fatal(err)
		}
		if err := log.AddLog(file, name); err != nil {
			t.Fatal(err)
		}
		_ = file.Close()
	}
	return log
}

// Guards against a timeline that omits the event that explains a failure, such as
// an agent's order that interrupted a stream, and against unnoticed changes of the
// causes.
func TestExplanations(t *testing.T) {
	convey.Convey("Given logs of an entry and two agents", t, func() {
		var out bytes.Buffer
		for _, id := range []string{"stream-1", "refused-1", "once-1", "unfinished-1", "early-1", "left-1", "moved-1", "unlisted-1", "deferred-1", "leaving-1", "ranked-1"} {
			explanation, found := readLogs(t, id).Explain()
			convey.So(found, convey.ShouldBeTrue)
			explanation.Print(&out)
		}
		goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "explanations", out.Bytes())
	})
}

// Guards against a truncated line that stops the reading of a log or is not reported.
func TestUnreadableLinesAreCounted(t *testing.T) {
	convey.Convey("Given a log with a truncated line and a line with an incomplete time", t, func() {
		explanation, found := readLogs(t, "refused-2").Explain()
		convey.So(found, convey.ShouldBeFalse)
		convey.So(explanation.UnreadableCount, convey.ShouldEqual, 2)
		convey.So(explanation.UnreadableLines[0].Location, convey.ShouldEqual, "entry.log:6")
		encoded, err := json.Marshal(explanation)
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(encoded), convey.ShouldContainSubstring, `"lines_unreadable":2`)
	})
	convey.Convey("Given more unreadable lines than are kept, and a line that is too long", t, func() {
		log := NewRequestLog("any")
		convey.So(log.AddLog(strings.NewReader(strings.Repeat("torn\n", 50)+strings.Repeat("x", 1<<20)+"\n"), "log"), convey.ShouldBeNil)
		convey.So(log.UnreadableCount(), convey.ShouldEqual, 51)
		convey.So(len(log.UnreadableLines), convey.ShouldEqual, maxUnreadableLines)
	})
}

// Guards against a line that is cut off and still parses, without the fields that tell
// what became of the request.
func TestLongLinesAreNotCutOff(t *testing.T) {
	convey.Convey("Given a line that would parse without its end", t, func() {
		log := NewRequestLog("a")
		text := "time=2026-12-03T10:00:00Z event=\"request ended\" request_id=a filler=" + strings.Repeat("x", maxLineBytes) + " status=502\n"
		convey.So(log.AddLog(strings.NewReader(text), "log"), convey.ShouldBeNil)
		convey.So(log.RequestLines, convey.ShouldBeEmpty)
		convey.So(log.UnreadableLines, convey.ShouldResemble, []UnreadableLine{{Location: "log:1", Problem: errLineTooLong.Error()}})
	})
}

// Guards against a reason of the gateway that this package does not explain.
func TestEveryReasonOfTheGatewayIsExplained(t *testing.T) {
	convey.Convey("Every reason in the gateway's golden file is explained", t, func() {
		golden, err := os.ReadFile("../gateways/testdata/reasons.golden")
		convey.So(err, convey.ShouldBeNil)
		found := regexp.MustCompile(`reason="([^"]+)"`).FindAllSubmatch(golden, -1)
		convey.So(len(found), convey.ShouldEqual, len(reasonTexts))
		for _, each := range found {
			convey.So(reasonTexts, convey.ShouldContainKey, string(each[1]))
		}
	})
}

// Guards against log contents that make the program panic.
func FuzzLog(f *testing.F) {
	f.Add([]byte("time=2026-12-03T10:00:00Z event=\"request ended\" request_id=a after=x status=\n"))
	f.Add([]byte("time=\"\\u00\x00 request_id=a\n"))
	f.Fuzz(func(_ *testing.T, text []byte) {
		log := NewRequestLog("a")
		_ = log.AddLog(bytes.NewReader(text), "log")
		explanation, _ := log.Explain()
		explanation.Print(&bytes.Buffer{})
	})
}

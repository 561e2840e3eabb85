package metrics

import (
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
)

// Guards against a scrape of which a collector keeps the first kilobytes, so that the
// values that explain a failure are cut off behind long histograms.
func TestSingleValuesPrecedeHistograms(t *testing.T) {
	convey.Convey("Given metrics of each kind", t, func() {
		metrics := New("firford_entry")
		metrics.Scope.Histogram("first_event", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)).RecordDuration(time.Second)
		metrics.Scope.Timer("store_call_time").Record(time.Second)
		metrics.Scope.Gauge("table_revision").Update(7)
		metrics.Scope.Counter("requests").Inc(1)
		convey.So(metrics.Close(), convey.ShouldBeNil)
		var request fasthttp.RequestCtx
		metrics.Handler(&request)
		text := string(request.Response.Body())
		position := func(line string) int {
			convey.So(text, convey.ShouldContainSubstring, line)
			return strings.Index(text, line)
		}
		convey.Convey("single values come before histograms and summaries", func() {
			convey.So(position("firford_entry_table_revision 7"), convey.ShouldBeLessThan, position("firford_entry_requests 1"))
			convey.So(position("firford_entry_requests 1"), convey.ShouldBeLessThan, position("firford_entry_first_event_bucket"))
			convey.So(position("firford_entry_requests 1"), convey.ShouldBeLessThan, position("firford_entry_store_call_time_count"))
		})
		convey.Convey("no help text repeats the name", func() {
			convey.So(text, convey.ShouldNotContainSubstring, "# HELP")
			convey.So(text, convey.ShouldContainSubstring, "# TYPE firford_entry_table_revision gauge")
		})
	})
}

package quarantines

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// Guards against one crash that counts as several because an entry that stood still
// notices it seconds after the others, when its clock says another time.
func TestCrashesThatAreNoticedLateCountOnce(t *testing.T) {
	convey.Convey("Given two entries that a crash cuts off, of which one stands still until three seconds later", t, func() {
		prompt, late := newLedgers(2)[0], newLedgers(2)[1]
		noticed := func(ledger *Ledger, server string, second float64) {
			ledger.RecordOwn(Crash{Server: server, At: at(second), Traits: Parts("shared")}, at(second))
			shareRecords([]*Ledger{prompt, late}, at(second+0.1))
		}
		noticed(prompt, "i-1", 1)
		convey.So(prompt.MayRepeat(Parts("shared")), convey.ShouldBeTrue)
		noticed(late, "i-1", 4)
		convey.Convey("Then requests with the part may still be repeated", func() {
			convey.So(prompt.MayRepeat(Parts("shared")), convey.ShouldBeTrue)
		})
		convey.Convey("Then the part isn't quarantined after the second crash", func() {
			noticed(prompt, "i-2", 5)
			convey.So(isRefused(prompt, 5.2, "shared"), convey.ShouldBeFalse)
		})
	})
}

// Guards against a server that crashes soon after it was started again under its id, of
// which the second crash does not count, and against a crash that counts twice because an
// entry has not heard of the start.
func TestCrashesOfDifferentStartsCountEach(t *testing.T) {
	convey.Convey("Given two records of a server that state different starts", t, func() {
		count := func(apart time.Duration) int {
			all, _ := Records{}.With(Crash{Server: "i-1", StartedUnixMilli: 1, At: at(1), Traits: Parts("bad")}, at(9))
			all, _ = all.With(Crash{Server: "i-1", StartedUnixMilli: 2, At: at(1).Add(apart), Traits: Parts("bad")}, at(9))
			return len(all.Crashes())
		}
		convey.So(count(2*time.Second), convey.ShouldEqual, 2)
		convey.So(count(100*time.Millisecond), convey.ShouldEqual, 1)
	})
}

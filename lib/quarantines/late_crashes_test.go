package quarantines

import (
	"testing"

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

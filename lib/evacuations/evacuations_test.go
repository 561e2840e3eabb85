package evacuations

import (
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "firford/lib/fixedseed"
	"firford/lib/platform"
)

var now = time.Unix(1_800_000_000, 0)

func at(epoch, revision int64) platform.Position {
	return platform.Position{Epoch: epoch, Revision: revision}
}

// Guards against an evacuation that ends early because the store came back from an older
// copy without its row, and against one that then never ends.
func TestAnOlderCopyDoesNotEndEvacuationsAtOnce(t *testing.T) {
	convey.Convey("Given an evacuation whose row is missing in a new epoch", t, func() {
		merged := New(at(1, 900), "hall").Merge(New(at(2, 700), "port"), now)
		convey.So(merged.DataCentres(now), convey.ShouldResemble, []string{"hall", "port"})
		convey.So(merged.DataCentres(now.Add(holdTime)), convey.ShouldResemble, []string{"port"})
		convey.Convey("Then later rows of the epoch do not end it earlier or later", func() {
			later := merged.Merge(New(at(2, 800)), now.Add(holdTime/2))
			convey.So(later.DataCentres(now.Add(holdTime/2)), convey.ShouldResemble, []string{"hall"})
			convey.So(later.DataCentres(now.Add(holdTime)), convey.ShouldBeEmpty)
		})
		convey.Convey("Then the row may be written again meanwhile", func() {
			again := merged.Merge(New(at(2, 750), "hall"), now.Add(time.Second))
			convey.So(again.DataCentres(now.Add(time.Hour)), convey.ShouldResemble, []string{"hall"})
		})
	})
}

// TestMergeTakesTheNewestState guards, over random exchanges between processes, against a
// process that adopts an older state and against processes that have the same position but
// disagree.
func TestMergeTakesTheNewestState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const processes = 4
		states := make([]State, processes)
		var newest platform.Position
		truth := map[platform.Position][]string{}
		t.Repeat(map[string]func(*rapid.T){
			"the store changes and a process reads it": func(t *rapid.T) {
				newest.Revision++
				rows := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"hall", "port", "yard"}), func(name string) string { return name }).Draw(t, "rows")
				truth[newest] = New(newest, rows...).Rows()
				reader := rapid.IntRange(0, processes-1).Draw(t, "reader")
				states[reader] = states[reader].Merge(New(newest, rows...), now)
			},
			"a process tells another": func(t *rapid.T) {
				from, to := rapid.IntRange(0, processes-1).Draw(t, "from"), rapid.IntRange(0, processes-1).Draw(t, "to")
				before := states[to].Position()
				states[to] = states[to].Merge(states[from], now)
				if states[to].Position().Before(before) {
					t.Fatalf("went back from %v to %v", before, states[to].Position())
				}
			},
			"": func(t *rapid.T) {
				for _, state := range states {
					if !slices.Equal(state.DataCentres(now), truth[state.Position()]) {
						t.Fatalf("%v at %v instead of %v", state.DataCentres(now), state.Position(), truth[state.Position()])
					}
				}
			},
		})
	})
}

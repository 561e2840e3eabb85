package regions

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "firford/lib/fixedseed"
)

// Guards against sets that lose their limit: an empty intersection, or a limit to names
// that say nothing, must allow no region instead of all.
func TestLimitsAreNotLost(t *testing.T) {
	convey.Convey("Given an unrestricted set, it allows known and unknown regions", t, func() {
		convey.So(Set{}.IsUnrestricted(), convey.ShouldBeTrue)
		convey.So(Set{}.Allows(""), convey.ShouldBeTrue)
		convey.So(Set{}.IsEmpty(), convey.ShouldBeFalse)
	})
	convey.Convey("Given limited sets, they allow only what they name", t, func() {
		for _, empty := range []Set{Only(), Only(""), Only("tema").Intersect(Only("kumasi"))} {
			convey.So(empty.IsEmpty(), convey.ShouldBeTrue)
			convey.So(empty.IsUnrestricted(), convey.ShouldBeFalse)
			convey.So(empty.Allows("tema"), convey.ShouldBeFalse)
			convey.So(empty.Allows(""), convey.ShouldBeFalse)
		}
		convey.So(Only("tema", "tema", "accra").Names(), convey.ShouldResemble, []string{"accra", "tema"})
	})
}

// Guards against an intersection that allows a region which one of its sets does not, and
// against Covers that disagrees with Allows.
func TestIntersectionAllowsWhatBothAllow(t *testing.T) {
	names := []string{"", "accra", "kumasi", "tema"}
	sets := rapid.OneOf(
		rapid.Just(Set{}),
		rapid.Map(rapid.SliceOfN(rapid.SampledFrom(names), 0, 4), func(chosen []string) Set { return Only(chosen...) }),
	)
	rapid.Check(t, func(t *rapid.T) {
		left, right := sets.Draw(t, "left"), sets.Draw(t, "right")
		common := left.Intersect(right)
		for _, name := range names {
			if common.Allows(name) != (left.Allows(name) && right.Allows(name)) {
				t.Fatalf("%v of %v and %v is wrong about %q", common, left, right, name)
			}
			if left.Covers(right) && right.Allows(name) && !left.Allows(name) {
				t.Fatalf("%v does not cover %v", left, right)
			}
		}
	})
}

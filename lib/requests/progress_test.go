package requests

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// Guards against an answer that one version began and another one continued:
// the agent of the continuation may have changed its version in between.
func TestPartsOfAnotherVersionAreNotPassed(t *testing.T) {
	convey.Convey("Given an answer that version v1 began", t, func() {
		var received []string
		passed := newProgress(func(part Part) { received = append(received, part.Text) })
		passed.pass(Part{Number: 1, Version: "v1", Text: "a"})
		convey.Convey("a part of v2 does not reach the caller", func() {
			passed.pass(Part{Number: 2, Version: "v2", Text: "x"})
			convey.So(received, convey.ShouldResemble, []string{"a"})
			convey.So(passed.begunBy(), convey.ShouldEqual, "v1")
		})
		convey.Convey("a part of v1 does", func() {
			passed.pass(Part{Number: 2, Version: "v1", Text: "b"})
			convey.So(received, convey.ShouldResemble, []string{"a", "b"})
		})
	})
}

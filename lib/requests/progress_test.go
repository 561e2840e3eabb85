package requests

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// Guards against an answer that one version began and another one continued.
// This happens when the agent of the continuation has changed its version in
// the meantime.
func TestPartsOfAnotherVersionAreNotPassed(t *testing.T) {
	convey.Convey("Given an answer that version v1 began", t, func() {
		var received []string
		delivered := newProgress(func(part Part) { received = append(received, part.Text) })
		delivered.deliverPart(Part{Number: 1, Version: "v1", Text: "a"})
		convey.Convey("a part of v2 does not reach the caller", func() {
			delivered.deliverPart(Part{Number: 2, Version: "v2", Text: "x"})
			convey.So(received, convey.ShouldResemble, []string{"a"})
			convey.So(delivered.firstVersion(), convey.ShouldEqual, "v1")
		})
		convey.Convey("a part of v1 reaches the caller", func() {
			delivered.deliverPart(Part{Number: 2, Version: "v1", Text: "b"})
			convey.So(received, convey.ShouldResemble, []string{"a", "b"})
		})
	})
}

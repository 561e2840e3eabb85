package memory

import (
	"math"
	"runtime/debug"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// Guards against a process whose garbage collector does not know how much memory the host
// has, and against one that overrides what the operator has set.
func TestLimitToHost(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	convey.Convey("Given no limit of the operator, the process has one", t, func() {
		t.Setenv(limitVariable, "")
		debug.SetMemoryLimit(math.MaxInt64)
		convey.So(LimitToHost(), convey.ShouldBeNil)
		convey.So(debug.SetMemoryLimit(-1), convey.ShouldBeBetween, 0, math.MaxInt64)
	})
	convey.Convey("Given a limit of the operator, it stays", t, func() {
		t.Setenv(limitVariable, "100MiB")
		debug.SetMemoryLimit(100 << 20)
		convey.So(LimitToHost(), convey.ShouldBeNil)
		convey.So(debug.SetMemoryLimit(-1), convey.ShouldEqual, 100<<20)
	})
	convey.Convey("Given a limit for some bytes, the former one is restored", t, func() {
		debug.SetMemoryLimit(100 << 20)
		restore := Limit(1 << 20)
		convey.So(debug.SetMemoryLimit(-1), convey.ShouldEqual, 3<<18)
		restore()
		convey.So(debug.SetMemoryLimit(-1), convey.ShouldEqual, 100<<20)
	})
}

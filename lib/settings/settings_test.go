package settings

import (
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/smartystreets/goconvey/convey"
)

const fileWithMistakes = `[process]
name = entry-01
name = entry-02
data_centre nairobi
log_level = loud

[listen]
links = localhost:7100
port = 7

[queue]
length = 0
`

// Guards against a check that stops at the first mistake in a file or reports a
// mistake without its position.
func TestAllMistakesAreReported(t *testing.T) {
	convey.Convey("Given a file with six different mistakes", t, func() {
		file := Parse("entry.ini", fileWithMistakes)
		file.Section("process").Required("name")
		file.Section("process").Required("data_centre")
		file.Section("process").OneOf("log_level", "info", "debug")
		file.Section("listen").Address("links")
		file.Section("queue").Integer("length", 10, 1, 1000)
		convey.Convey("each of them is reported with its position", func() {
			goldie.New(t).Assert(t, "findings", []byte(file.Findings().String()))
		})
	})
}

// Guards against reads that return the default although the key has a valid value,
// and against findings about a correct file.
func TestValidValues(t *testing.T) {
	convey.Convey("Given a correct file", t, func() {
		file := Parse("entry.ini", "[a]\nspan = 250ms\nshare = 0.5\nflag = true\naddress = 127.0.0.1:80\n")
		section := file.Section("a")
		convey.So(section.Duration("span", time.Second, 0, time.Minute), convey.ShouldEqual, 250*time.Millisecond)
		convey.So(section.Share("share", 1), convey.ShouldEqual, 0.5)
		convey.So(section.Bool("flag", false), convey.ShouldBeTrue)
		convey.So(section.Address("address"), convey.ShouldEqual, "127.0.0.1:80")
		convey.So(section.Integer("absent", 7, 0, 9), convey.ShouldEqual, 7)
		convey.So(file.Findings().Len(), convey.ShouldEqual, 0)
	})
	convey.Convey("Given a file that starts with a byte order mark", t, func() {
		file := Parse("entry.ini", "\ufeff[a]\nflag = true\n")
		convey.So(file.Section("a").Bool("flag", false), convey.ShouldBeTrue)
		convey.So(file.Findings().Len(), convey.ShouldEqual, 0)
	})
}

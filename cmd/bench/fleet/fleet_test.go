package fleet

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/smartystreets/goconvey/convey"
)

func testPlan(directory string) Plan {
	return Plan{
		BasePort: 20000, Directory: directory, Binaries: "out/bin", DataCentres: []string{"nairobi", "mombasa"},
		Region: "kenya", Entries: 2, Pools: []Pool{{Deployment: "plant", Type: "engine", Servers: 1}, {Deployment: "office", Type: "service", Servers: 1}},
		HostBytesPerS: 2 << 20, OriginBytesPerS: 4 << 20,
	}
}

// Guards against a process that listens on another port or reads another file
// than the one that its peers and the script use.
func TestFiles(t *testing.T) {
	convey.Convey("The files of a small fleet agree with each other", t, func() {
		files, err := testPlan("run").files()
		convey.So(err, convey.ShouldBeNil)
		var all string
		for _, file := range files {
			all += "== " + file.name + "\n" + file.body
		}
		goldie.New(t).Assert(t, "files", []byte(all))
	})
}

// Guards against secrets that other users of the machine can read, and against
// plans whose port ranges overlap: more than maxEntries entries would use the
// ports of the next range.
func TestWrite(t *testing.T) {
	convey.Convey("Only the owner can read the secrets, and a plan with too many entries is rejected", t, func() {
		directory := t.TempDir()
		convey.So(testPlan(directory).Write(), convey.ShouldBeNil)
		for _, name := range []string{"fleet.key", "platform.token", "operator.token", "operators.tokens"} {
			info, err := os.Stat(filepath.Join(directory, name))
			convey.So(err, convey.ShouldBeNil)
			convey.So(info.Mode().Perm(), convey.ShouldEqual, os.FileMode(secretMode))
		}
		oversized := testPlan(directory)
		oversized.Entries = maxEntries + 1
		convey.So(oversized.Write(), convey.ShouldNotBeNil)
	})
}

package fleet

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/smartystreets/goconvey/convey"
)

func plan(directory string) Plan {
	return Plan{
		BasePort: 20000, Directory: directory, Binaries: "out/bin", DataCentres: []string{"nairobi", "mombasa"},
		Region: "kenya", Entries: 2, Pools: []Pool{{Deployment: "plant", Type: "engine", Servers: 1}, {Deployment: "office", Type: "service", Servers: 1}},
		HostBytesPerSecond: 2 << 20, OriginBytesPerSecond: 4 << 20,
	}
}

// Guards against processes that are started with another port or file than
// the one that their peers and the script know.
func TestFiles(t *testing.T) {
	convey.Convey("The files of a small fleet agree with each other", t, func() {
		files, err := plan("run").files()
		convey.So(err, convey.ShouldBeNil)
		var all string
		for _, each := range files {
			all += "== " + each.name + "\n" + each.body
		}
		goldie.New(t).Assert(t, "files", []byte(all))
	})
}

// Guards against secrets that other users of the machine can read, and against
// plans whose port ranges overlap.
func TestWrite(t *testing.T) {
	convey.Convey("A written fleet keeps its secrets private", t, func() {
		directory := t.TempDir()
		convey.So(plan(directory).Write(), convey.ShouldBeNil)
		for _, name := range []string{"fleet.key", "platform.token", "operator.token", "operators.tokens"} {
			info, err := os.Stat(filepath.Join(directory, name))
			convey.So(err, convey.ShouldBeNil)
			convey.So(info.Mode().Perm(), convey.ShouldEqual, os.FileMode(secretMode))
		}
		crowded := plan(directory)
		crowded.Entries = maxEntries + 1
		convey.So(crowded.Write(), convey.ShouldNotBeNil)
	})
}

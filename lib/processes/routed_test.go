package processes

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"firford/lib/warmups"
)

const validRoutedAgentSettings = `[process]
name = side-1
data_centre = hall
region = nairobi
regions = hall:nairobi,port:mombasa

[listen]
address = 10.1.0.4
peer_port = 7700

[platform]
address = 10.200.1.7:8007

[backend_server]
address = 10.1.0.4:8001
service = pool

[transfer]
link_mbps = 7.6

[limits]
version_time = 8000ms
stop_time = 8s
`

func writeSettings(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "settings.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against misreading settings and against reporting only the first
// problem.
func TestRoutedSettings(t *testing.T) {
	convey.Convey("Given valid settings of a routed agent, all of them are read", t, func() {
		agent, err := ReadRoutedAgent(writeSettings(t, validRoutedAgentSettings))
		convey.So(err, convey.ShouldBeNil)
		convey.So(agent.PeerAddress(), convey.ShouldEqual, "10.1.0.4:7700")
		convey.So(agent.Regions, convey.ShouldResemble, map[string]string{"hall": "nairobi", "port": "mombasa"})
		convey.So(agent.LinkMbps, convey.ShouldEqual, 7.6)
		convey.So(agent.VersionTimeout, convey.ShouldEqual, 8*time.Second)
	})
	convey.Convey("Given settings with mistakes, all of them are reported", t, func() {
		_, err := ReadRoutedAgent(writeSettings(t, validRoutedAgentSettings+"[extra]\nx = 1\n"))
		convey.So(err, convey.ShouldNotBeNil)
		_, err = ReadRoutedEntry(writeSettings(t, validRoutedAgentSettings))
		convey.So(err.Error(), convey.ShouldContainSubstring, "callers")
		convey.So(err.Error(), convey.ShouldContainSubstring, "admin")
	})
}

// Guards against a process that ends when it is sent SIGHUP because its settings file has
// changed, and against a wrong file that is taken over or that the operator does not hear of.
func TestHangupChecksTheSettings(t *testing.T) {
	const right = `level=info event="settings changed" outcome="takes effect at the next start"`
	wrong := strings.Replace(validRoutedAgentSettings, "[listen]", "colour = red\n[listen]", 1)
	line := strings.Count(wrong[:strings.Index(wrong, "colour")], "\n") + 1
	convey.Convey("Given a process that gets SIGHUP three times, the second time with a wrong file", t, func() {
		path := writeSettings(t, validRoutedAgentSettings)
		read, write := io.Pipe()
		stop := checkOnHangup(func() error { _, err := ReadRoutedAgent(path); return err }, write)
		defer stop()
		lines := bufio.NewScanner(read)
		hangUp := func(content string) string {
			convey.So(os.WriteFile(path, []byte(content), 0o600), convey.ShouldBeNil)
			convey.So(syscall.Kill(os.Getpid(), syscall.SIGHUP), convey.ShouldBeNil)
			convey.So(lines.Scan(), convey.ShouldBeTrue)
			return lines.Text()
		}
		convey.So(hangUp(validRoutedAgentSettings), convey.ShouldEqual, right)
		rejection := hangUp(wrong)
		convey.So(rejection, convey.ShouldContainSubstring, `event="settings rejected"`)
		convey.So(rejection, convey.ShouldContainSubstring, fmt.Sprintf("%s:%d:", filepath.Base(path), line))
		convey.So(hangUp(validRoutedAgentSettings), convey.ShouldEqual, right)
	})
}

// Guards against settings that crash the program or are accepted without
// required values.
func FuzzRoutedSettings(f *testing.F) {
	f.Add("[process]\nname = a\nregions = x:y,z\n[listen]\npeer_port = -1\n[limits]\nversion_time = 1e9h\n")
	f.Add("[transfer]\nlink_mbps = NaN\n[backend_server]\naddress = :\n")
	f.Fuzz(func(t *testing.T, text string) {
		path := filepath.Join(t.TempDir(), "settings.ini")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if entry, err := ReadRoutedEntry(path); err == nil && entry.Name == "" {
			t.Fatalf("accepted without a name")
		}
		if agent, err := ReadRoutedAgent(path); err == nil && (agent.Service == "" || !(agent.LinkMbps > 0)) {
			t.Fatalf("accepted %+v", agent)
		}
	})
}

// Guards against a tolerance for cold servers that is misread, and against an entry that
// does not start without one, as the platform leaves the keys out where it has no values.
func TestWarmupTolerance(t *testing.T) {
	entry := func(limits string) (RoutedEntry, error) {
		text := strings.Replace(validRoutedAgentSettings, "peer_port = 7700", "peer_port = 7700\ncallers = 10.1.0.4:80\nadmin = 10.1.0.4:81", 1)
		return ReadRoutedEntry(writeSettings(t, text[:strings.Index(text, "[backend_server]")]+"[limits]\n"+limits))
	}
	convey.Convey("The tolerance is read, and none is the default", t, func() {
		settings, err := entry("warmup_overage = 1.5\nwarmup_slack = 5\n")
		convey.So(err, convey.ShouldBeNil)
		convey.So(settings.WarmupTolerance, convey.ShouldResemble, warmups.Tolerance{Overage: 1.5, Slack: 5})
		settings, err = entry("")
		convey.So(err, convey.ShouldBeNil)
		convey.So(settings.WarmupTolerance, convey.ShouldResemble, warmups.DefaultTolerance)
		_, err = entry("warmup_overage = many\nwarmup_slack = -1\n")
		convey.So(err, convey.ShouldNotBeNil)
		convey.So(err.Error(), convey.ShouldContainSubstring, "warmup_overage")
		convey.So(err.Error(), convey.ShouldContainSubstring, "warmup_slack")
	})
}

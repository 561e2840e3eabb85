package hosts

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	_ "firford/lib/fixedseed"
)

type fakeList struct {
	mutex sync.Mutex
	list  []Host
	err   error
	reads int
}

func (fake *fakeList) List(context.Context) ([]Host, error) {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	fake.reads++
	return fake.list, fake.err
}

func (fake *fakeList) set(list []Host, err error) {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	fake.list, fake.err = list, err
}

func fleet(count int) []Host {
	var all []Host
	for i := range count {
		all = append(all, Host{Name: fmt.Sprintf("host-%04d", i), Address: "127.0.0.1:1"})
	}
	return all
}

// Guards against a host that exchanges data with one that doesn't regard it as
// a neighbour, and against a neighbour graph that is not connected, so that
// messages don't reach the whole fleet.
func TestNeighboursSymmetricAndConnected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := fleet(rapid.IntRange(2, 60).Draw(t, "hosts"))
		neighbours := map[string][]string{}
		for _, host := range all {
			for _, other := range Neighbours(host.Name, all, 6) {
				neighbours[host.Name] = append(neighbours[host.Name], other.Name)
			}
		}
		reached := map[string]bool{all[0].Name: true}
		for queue := []string{all[0].Name}; len(queue) > 0; queue = queue[1:] {
			for _, other := range neighbours[queue[0]] {
				if !reached[other] {
					reached[other] = true
					queue = append(queue, other)
				}
			}
		}
		if len(reached) != len(all) {
			t.Fatalf("%d of %d hosts reached", len(reached), len(all))
		}
		for name, others := range neighbours {
			for _, other := range others {
				if !contains(neighbours[other], name) {
					t.Fatalf("%s has neighbour %s, but not the reverse", name, other)
				}
			}
		}
	})
}

func contains(names []string, name string) bool {
	for _, each := range names {
		if each == name {
			return true
		}
	}
	return false
}

// Guards against topRanked using another order than Rank.
func TestTopRankedMatchesRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := fleet(rapid.IntRange(0, 30).Draw(t, "hosts"))
		count := rapid.IntRange(1, 6).Draw(t, "count")
		ranked := Rank("key", all)
		if got := topRanked("key", all, count); !slices.Equal(got, ranked[:min(count, len(ranked))]) {
			t.Fatalf("%v", got)
		}
	})
}

// Guards against sending work to a host that can't answer, and against treating
// a host as removed because a single observer can't reach it.
func TestStateOf(t *testing.T) {
	start := time.Unix(1000, 0)
	observed := Observation{}.WithMessage(start)
	for _, example := range []struct {
		name        string
		host        Host
		listed      bool
		observation Observation
		after       time.Duration
		want        State
	}{
		{"two heartbeats lost", Host{}, true, observed, 2900 * time.Millisecond, Live},
		{"three heartbeats lost", Host{}, true, observed, 3 * time.Second, Silent},
		{"silent, new connection works", Host{}, true, observed.WithFailedConnection(start).WithMessage(start.Add(4 * time.Second)), 5 * time.Second, Live},
		{"silent, no new connection attempted", Host{}, true, observed, time.Hour, Silent},
		{"silent, new connection fails", Host{}, true, observed.WithFailedConnection(start.Add(4 * time.Second)), 6 * time.Second, Frozen},
		{"never reached", Host{}, true, Observation{}, 0, Silent},
		{"the platform lists the host as leaving", Host{Leaving: true}, true, observed, time.Second, Leaving},
		{"the host reports that it is draining", Host{}, true, observed.WithDrain(true), time.Second, Leaving},
		{"not listed, though messages arrive", Host{}, false, observed, 0, Removed},
	} {
		convey.Convey(example.name, t, func() {
			convey.So(StateOf(example.host, example.listed, example.observation, start.Add(example.after)), convey.ShouldEqual, example.want)
		})
	}
}

// Guards against an entry that takes a fault of its own network for the failure
// of many hosts, and against suspecting the network when single hosts fail.
func TestSuspectsOwnNetwork(t *testing.T) {
	convey.Convey("Given twelve observed hosts, the network is suspected only if more than a third fell silent recently", t, func() {
		now := time.Unix(1000, 0)
		observe := func(silent int, silence time.Duration) []Observation {
			var all []Observation
			for i := range 12 {
				at := now
				if i < silent {
					at = now.Add(-silence)
				}
				all = append(all, Observation{}.WithMessage(at))
			}
			return all
		}
		convey.So(SuspectsOwnNetwork(observe(4, 4*time.Second), now), convey.ShouldBeFalse)
		convey.So(SuspectsOwnNetwork(observe(5, 4*time.Second), now), convey.ShouldBeTrue)
		convey.So(SuspectsOwnNetwork(observe(5, time.Minute), now), convey.ShouldBeFalse)
		convey.So(SuspectsOwnNetwork(observe(5, time.Second), now), convey.ShouldBeFalse)
	})
}

// Guards against a process that drops its hosts because the list can't be read.
func TestWatcherKeepsListDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeList{list: fleet(3)}
		watcher := NewWatcher(fake, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		go watcher.Run(ctx)
		synctest.Wait()
		fake.set(nil, errors.New("outage"))
		time.Sleep(time.Hour)
		if got := len(watcher.Current()); got != 3 {
			t.Errorf("%d hosts during the outage, want 3", got)
		}
		fake.set(nil, nil)
		time.Sleep(time.Minute)
		if got := len(watcher.Current()); got != 3 {
			t.Errorf("%d hosts after an empty list, want 3", got)
		}
		fake.set(fleet(4), nil)
		time.Sleep(time.Minute)
		if got := len(watcher.Current()); got != 4 {
			t.Errorf("%d hosts after the outage, want 4", got)
		}
		cancel()
	})
}

// Guards against polling the list of a large fleet so often that it uses up the
// bandwidth for control traffic.
func TestWatcherBoundsListTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeList{list: fleet(1290)}
		watcher := NewWatcher(fake, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		go watcher.Run(ctx)
		time.Sleep(10 * time.Minute)
		synctest.Wait()
		fake.mutex.Lock()
		defer fake.mutex.Unlock()
		if rate := float64(fake.reads*watcher.listBytes) / 600; rate > 1.3*listBytesPerSecond {
			t.Errorf("%.0f bytes/s", rate)
		}
		cancel()
	})
}

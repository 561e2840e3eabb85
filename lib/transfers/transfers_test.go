package transfers

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"firford/lib/weights"
)

// Guards against hosts that stay incomplete or read more than one copy together.
func TestBurst(t *testing.T) {
	convey.Convey("Twelve hosts that start together all hold the version", t, func() {
		all := newFleet(t, 12)
		all.startAll()
		manifest := all.origin.publish("v1", seeds(0, 60)...)
		all.want(all.target(manifest), all.everyone()...)
		all.wait(manifest, all.everyone()...)
		for _, node := range all.nodes {
			for index, digest := range manifest.Chunks {
				content, held := node.Chunk(digest)
				offset, length := manifest.ChunkRange(index)
				convey.So(held && bytes.Equal(content, all.origin.content["v1"][offset:offset+length]), convey.ShouldBeTrue)
			}
		}
	})
}

// Guards against corrupted chunks that are kept, and against a transfer that
// never ends because one neighbour corrupts everything or does not exist.
func TestCorruptAndDeadNeighbours(t *testing.T) {
	convey.Convey("Given five hosts, one that corrupts all it sends and one that is dead", t, func() {
		all := newFleet(t, 5)
		// The origin's deadlines leave time to receive a wrong chunk first.
		all.limits.OriginBytesPerS = 20 << 10
		all.bodies["host-01"] = func(_ string, content []byte) io.Reader {
			wrong := bytes.Clone(content)
			wrong[0] ^= 1
			return bytes.NewReader(wrong)
		}
		live := []int{0, 1, 3, 4}
		for _, at := range live {
			all.start(at)
		}
		manifest := all.origin.publish("v1", seeds(0, 40)...)
		all.want(all.target(manifest), live...)
		all.wait(manifest, live...)
		wrong := int64(0)
		for _, at := range live {
			wrong += all.nodes[at].Counts().WrongChunks
		}
		convey.So(wrong, convey.ShouldBeGreaterThan, 0)
	})
}

// Guards against a connection that goes silent in the middle of a chunk and
// holds its request forever.
func TestSilentConnection(t *testing.T) {
	convey.Convey("A chunk whose sender stops half-way is fetched all the same", t, func() {
		all := newFleet(t, 2)
		var stalled atomic.Bool
		release := make(chan struct{})
		t.Cleanup(func() { close(release) })
		all.bodies["host-00"] = func(_ string, content []byte) io.Reader {
			if stalled.Swap(true) {
				return bytes.NewReader(content)
			}
			return io.MultiReader(bytes.NewReader(content[:len(content)/2]), blockingReader(release))
		}
		all.startAll()
		manifest := all.origin.publish("v1", seeds(0, 4)...)
		all.want(all.target(manifest), 0)
		// Before its deadlines as second rank, host-00 reads only its own chunks.
		all.wait(manifest, 0)
		all.origin.out.Store(true)
		all.want(all.target(manifest), 1)
		all.wait(manifest, 1)
		convey.So(stalled.Load(), convey.ShouldBeTrue)
		convey.So(all.nodes[1].Counts().BrokenRequests, convey.ShouldBeGreaterThan, 0)
	})
}

type blockingReader chan struct{}

// Read implements io.Reader. It blocks until the channel is closed.
func (release blockingReader) Read([]byte) (int, error) {
	<-release
	return 0, io.ErrUnexpectedEOF
}

// Guards against a swarm that needs the origin although it holds everything.
func TestOriginOutage(t *testing.T) {
	convey.Convey("Hosts that hold a version together complete it without the origin", t, func() {
		all := newFleet(t, 4)
		all.startAll()
		left, right := all.origin.publish("left", seeds(0, 20)...), all.origin.publish("right", seeds(20, 20)...)
		both := all.origin.publish("both", seeds(0, 40)...)
		for at, part := range []weights.Manifest{left, right, left, right} {
			target := all.target(part)
			target.Hosts = all.hosts[at : at+1]
			all.want(target, at)
			all.wait(part, at)
		}
		all.origin.out.Store(true)
		all.want(all.target(both), all.everyone()...)
		all.wait(both, all.everyone()...)
	})
}

// Guards against an old version that delays a newer one, and against chunks
// that are fetched again although both versions have them.
func TestNewerVersionInMidTransfer(t *testing.T) {
	convey.Convey("Given a host whose transfer can't end because the origin is out", t, func() {
		all := newFleet(t, 1)
		node := all.start(0)
		old := all.origin.publish("old", seeds(0, 20)...)
		next := all.origin.publish("next", seeds(10, 20)...)
		part := all.origin.publish("part", seeds(10, 10)...)
		all.want(all.target(part), 0)
		all.wait(part, 0)
		all.origin.out.Store(true)
		all.want(all.target(old), 0)
		convey.Convey("the newer target ends it and reads only what is missing", func() {
			waited := make(chan error, 1)
			go func() { waited <- node.WaitComplete(context.Background(), old.Digest()) }()
			for len(node.running()) == 0 || node.running()[0].digest != old.Digest() {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(10 * time.Millisecond)
			before := all.origin.reads.Load()
			all.want(all.target(next), 0)
			err := <-waited
			convey.So(errors.Is(err, ErrReplaced) || errors.Is(err, ErrNoTarget), convey.ShouldBeTrue)
			all.origin.out.Store(false)
			all.wait(next, 0)
			convey.So(all.origin.reads.Load()-before, convey.ShouldEqual, 10)
		})
	})
}

// Guards against a restarted host that reads a whole copy from the origin.
func TestRestart(t *testing.T) {
	convey.Convey("A restarted host catches up from its peers alone", t, func() {
		all := newFleet(t, 4)
		all.startAll()
		manifest := all.origin.publish("v1", seeds(0, 40)...)
		all.want(all.target(manifest), all.everyone()...)
		all.wait(manifest, all.everyone()...)
		before := all.origin.reads.Load()
		all.restart(2)
		all.want(all.target(manifest), 2)
		all.wait(manifest, 2)
		convey.So(all.origin.reads.Load(), convey.ShouldEqual, before)
	})
}

// Guards against a version that exceeds the chunk memory.
func TestMemoryBound(t *testing.T) {
	convey.Convey("A version above the bound is refused, two below it replace each other", t, func() {
		all := newFleet(t, 1)
		all.memory = 20 * testChunkBytes
		node := all.start(0)
		large := all.origin.publish("large", seeds(0, 21)...)
		convey.So(errors.Is(node.SetTarget(all.target(large)), ErrTooLarge), convey.ShouldBeTrue)
		for _, first := range []int{100, 200} {
			manifest := all.origin.publish("fits", seeds(first, 20)...)
			all.want(all.target(manifest), 0)
			all.wait(manifest, 0)
			convey.So(node.given.Store.Bytes(), convey.ShouldBeLessThanOrEqualTo, all.memory)
		}
	})
}

// Guards against one deployment that takes the link from another.
func TestEqualShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := newBandwidth(100 * pieceBytes)
		ctx, cancel := context.WithCancel(t.Context())
		carried := map[string]*atomic.Int64{"many": {}, "few": {}}
		var group sync.WaitGroup
		for deployment, senders := range map[string]int{"many": 20, "few": 4} {
			for range senders {
				group.Go(func() {
					for link.take(ctx, deployment, pieceBytes) == nil {
						carried[deployment].Add(1)
					}
				})
			}
		}
		time.Sleep(10 * time.Second)
		cancel()
		group.Wait()
		many, few := carried["many"].Load(), carried["few"].Load()
		if many+few < 990 || many+few > 1030 {
			t.Errorf("the link carried %d pieces instead of 1000", many+few)
		}
		if many-few > 20 || few-many > 20 {
			t.Errorf("shares of %d and %d pieces", many, few)
		}
		time.Sleep(time.Second)
	})
}

// Guards against transfers that keep their rate while live requests suffer.
func TestLiveLoad(t *testing.T) {
	convey.Convey("Given a host with a limited link", t, func() {
		all := newFleet(t, 1)
		all.limits.UploadBytesPerS, all.limits.DownloadBytesPerS, all.limits.LinkShare = 1000, 1000, 0.8
		node := all.start(0)
		rate := func() float64 { return float64(node.upload.limiter.Limit()) }
		convey.So(rate(), convey.ShouldEqual, 800)
		node.SetLiveLoad(LiveLoad{BytesPerS: 500, LatencyRatio: 1})
		convey.So(rate(), convey.ShouldEqual, 500)
		node.SetLiveLoad(LiveLoad{BytesPerS: 500, LatencyRatio: 1.3})
		convey.So(rate(), convey.ShouldEqual, 400)
		for range 100 {
			node.SetLiveLoad(LiveLoad{LatencyRatio: 2})
		}
		convey.So(rate(), convey.ShouldEqual, 200)
		for range 100 {
			node.SetLiveLoad(LiveLoad{LatencyRatio: 1})
		}
		convey.So(rate(), convey.ShouldEqual, 800)
	})
}

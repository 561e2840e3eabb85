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

// Guards against hosts that stay incomplete, hold wrong content or together read
// more than one copy from the origin when all start a transfer at the same time.
// The invariants fail the test on a read before its deadline.
func TestBurst(t *testing.T) {
	convey.Convey("Twelve hosts that start together complete the version", t, func() {
		fleet := newFleet(t, 12)
		// A copy takes the origin three seconds, so that the hosts can exchange chunks
		// before others may read them there.
		fleet.limits.OriginBytesPerS = 20 << 10
		fleet.startAll()
		manifest := fleet.origin.publish("v1", sequence(0, 60)...)
		fleet.setTarget(fleet.target(manifest), fleet.allIndices()...)
		fleet.waitComplete(manifest, fleet.allIndices()...)
		originBytes := int64(0)
		for _, node := range fleet.nodes {
			originBytes += node.Counts().OriginBytes
		}
		convey.So(originBytes, convey.ShouldBeLessThanOrEqualTo, manifest.Size)
		for _, node := range fleet.nodes {
			for index, digest := range manifest.Chunks {
				content, held := node.Chunk(digest)
				offset, length := manifest.ChunkRange(index)
				convey.So(held && bytes.Equal(content, fleet.origin.content["v1"][offset:offset+length]), convey.ShouldBeTrue)
			}
		}
	})
}

// Guards against storing corrupted chunks, and against a transfer that never
// completes because one neighbour corrupts every chunk or is dead.
func TestCorruptAndDeadNeighbours(t *testing.T) {
	convey.Convey("The live ones of five hosts complete although one corrupts every chunk it sends and one is dead", t, func() {
		fleet := newFleet(t, 5)
		// With a slow origin, the hosts receive a wrong chunk before their deadlines
		// for origin reads.
		fleet.limits.OriginBytesPerS = 20 << 10
		fleet.overrideBodies["host-01"] = func(_ string, content []byte) io.Reader {
			wrong := bytes.Clone(content)
			wrong[0] ^= 1
			return bytes.NewReader(wrong)
		}
		live := []int{0, 1, 3, 4}
		for _, index := range live {
			fleet.start(index)
		}
		manifest := fleet.origin.publish("v1", sequence(0, 40)...)
		fleet.setTarget(fleet.target(manifest), live...)
		fleet.waitComplete(manifest, live...)
		wrong := int64(0)
		for _, index := range live {
			wrong += fleet.nodes[index].Counts().WrongChunks
		}
		convey.So(wrong, convey.ShouldBeGreaterThan, 0)
	})
}

// Guards against a connection that stalls in the middle of a chunk and keeps its
// request in flight forever.
func TestSilentConnection(t *testing.T) {
	convey.Convey("A chunk whose sender stalls half-way is requested again and received", t, func() {
		fleet := newFleet(t, 2)
		var stalled atomic.Bool
		release := make(chan struct{})
		t.Cleanup(func() { close(release) })
		fleet.overrideBodies["host-00"] = func(_ string, content []byte) io.Reader {
			if stalled.Swap(true) {
				return bytes.NewReader(content)
			}
			return io.MultiReader(bytes.NewReader(content[:len(content)/2]), blockingReader(release))
		}
		fleet.startAll()
		manifest := fleet.origin.publish("v1", sequence(0, 4)...)
		fleet.setTarget(fleet.target(manifest), 0)
		// host-00 completes after its deadlines as second rank. Before them it reads
		// only the chunks for which it ranks first.
		fleet.waitComplete(manifest, 0)
		fleet.origin.outage.Store(true)
		fleet.setTarget(fleet.target(manifest), 1)
		fleet.waitComplete(manifest, 1)
		convey.So(stalled.Load(), convey.ShouldBeTrue)
		convey.So(fleet.nodes[1].Counts().BrokenRequests, convey.ShouldBeGreaterThan, 0)
	})
}

type blockingReader chan struct{}

// Read implements io.Reader. It blocks until the channel is closed.
func (release blockingReader) Read([]byte) (int, error) {
	<-release
	return 0, io.ErrUnexpectedEOF
}

// Guards against hosts that need the origin although together they hold all chunks.
func TestOriginOutage(t *testing.T) {
	convey.Convey("Hosts that together hold a version complete it during an outage of the origin", t, func() {
		fleet := newFleet(t, 4)
		fleet.startAll()
		left, right := fleet.origin.publish("left", sequence(0, 20)...), fleet.origin.publish("right", sequence(20, 20)...)
		both := fleet.origin.publish("both", sequence(0, 40)...)
		for index, part := range []weights.Manifest{left, right, left, right} {
			target := fleet.target(part)
			target.Hosts = fleet.hosts[index : index+1]
			fleet.setTarget(target, index)
			fleet.waitComplete(part, index)
		}
		fleet.origin.outage.Store(true)
		fleet.setTarget(fleet.target(both), fleet.allIndices()...)
		fleet.waitComplete(both, fleet.allIndices()...)
	})
}

// Guards against an old version that delays a newer one, and against reading chunks
// again that both versions contain.
func TestNewerVersionInMidTransfer(t *testing.T) {
	convey.Convey("Given a host whose transfer can't complete during an outage of the origin", t, func() {
		fleet := newFleet(t, 1)
		node := fleet.start(0)
		old := fleet.origin.publish("old", sequence(0, 20)...)
		next := fleet.origin.publish("next", sequence(10, 20)...)
		part := fleet.origin.publish("part", sequence(10, 10)...)
		fleet.setTarget(fleet.target(part), 0)
		fleet.waitComplete(part, 0)
		fleet.origin.outage.Store(true)
		fleet.setTarget(fleet.target(old), 0)
		convey.Convey("a newer target stops it and reads only the missing chunks", func() {
			waited := make(chan error, 1)
			go func() { waited <- node.WaitComplete(context.Background(), old.Digest()) }()
			for len(node.activeTransfers()) == 0 || node.activeTransfers()[0].digest != old.Digest() {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(10 * time.Millisecond)
			before := fleet.origin.reads.Load()
			fleet.setTarget(fleet.target(next), 0)
			err := <-waited
			convey.So(errors.Is(err, ErrReplaced) || errors.Is(err, ErrNoTarget), convey.ShouldBeTrue)
			fleet.origin.outage.Store(false)
			fleet.waitComplete(next, 0)
			convey.So(fleet.origin.reads.Load()-before, convey.ShouldEqual, 10)
		})
	})
}

// Guards against a restarted host that reads chunks from the origin which its
// neighbours hold.
func TestRestart(t *testing.T) {
	convey.Convey("A restarted host downloads the version from its neighbours alone", t, func() {
		fleet := newFleet(t, 4)
		fleet.startAll()
		manifest := fleet.origin.publish("v1", sequence(0, 40)...)
		fleet.setTarget(fleet.target(manifest), fleet.allIndices()...)
		fleet.waitComplete(manifest, fleet.allIndices()...)
		before := fleet.origin.reads.Load()
		fleet.restart(2)
		fleet.setTarget(fleet.target(manifest), 2)
		fleet.waitComplete(manifest, 2)
		convey.So(fleet.origin.reads.Load(), convey.ShouldEqual, before)
	})
}

// Guards against chunks of earlier versions that fill the chunk memory, and against
// accepting a version that exceeds it.
func TestMemoryBound(t *testing.T) {
	convey.Convey("A version above the limit is rejected, and two that fit replace each other", t, func() {
		fleet := newFleet(t, 1)
		fleet.memoryBytes = 20 * testChunkBytes
		node := fleet.start(0)
		large := fleet.origin.publish("large", sequence(0, 21)...)
		convey.So(errors.Is(node.SetTarget(fleet.target(large)), ErrTooLarge), convey.ShouldBeTrue)
		for _, first := range []int{100, 200} {
			manifest := fleet.origin.publish("fits", sequence(first, 20)...)
			fleet.setTarget(fleet.target(manifest), 0)
			fleet.waitComplete(manifest, 0)
			convey.So(node.dependencies.Store.Bytes(), convey.ShouldBeLessThanOrEqualTo, fleet.memoryBytes)
		}
	})
}

// Guards against a deployment with many requests that takes link capacity from
// another.
func TestEqualShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := newFairLimiter(100 * quantumBytes)
		ctx, cancel := context.WithCancel(t.Context())
		granted := map[string]*atomic.Int64{"many": {}, "few": {}}
		var group sync.WaitGroup
		for deployment, senders := range map[string]int{"many": 20, "few": 4} {
			for range senders {
				group.Go(func() {
					for limiter.acquire(ctx, deployment, quantumBytes) == nil {
						granted[deployment].Add(1)
					}
				})
			}
		}
		time.Sleep(10 * time.Second)
		cancel()
		group.Wait()
		many, few := granted["many"].Load(), granted["few"].Load()
		if many+few < 990 || many+few > 1030 {
			t.Errorf("the limiter granted %d quanta instead of 1000", many+few)
		}
		if many-few > 20 || few-many > 20 {
			t.Errorf("unequal shares: %d and %d quanta", many, few)
		}
		time.Sleep(time.Second)
	})
}

// Guards against transfers that keep their rate while the latency of live requests
// is raised.
func TestLiveLoad(t *testing.T) {
	convey.Convey("The rate of a limited link follows the load of live requests", t, func() {
		fleet := newFleet(t, 1)
		fleet.limits.UploadBytesPerS, fleet.limits.DownloadBytesPerS, fleet.limits.LinkShare = 1000, 1000, 0.8
		node := fleet.start(0)
		rate := func() float64 { return float64(node.upload.bucket.Limit()) }
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

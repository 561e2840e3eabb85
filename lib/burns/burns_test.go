package burns

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"firford/lib/configurations"
	_ "firford/lib/fixedseed"
	"firford/lib/links"
	"firford/lib/platform"
	"firford/lib/requests"
)

var testNow = time.Date(2026, 3, 1, 12, 30, 0, 0, time.UTC)

type fixedSource struct{ snapshot configurations.Snapshot }

func (source fixedSource) Current() configurations.Snapshot { return source.snapshot }

func (source fixedSource) Wait(ctx context.Context, _ int64) (configurations.Snapshot, error) {
	<-ctx.Done()
	return source.snapshot, ctx.Err()
}

func testSource() fixedSource {
	return fixedSource{configurations.NewSnapshot(1, []configurations.Entry{{Revision: 1, Object: configurations.Deployment{
		Name: "plant",
		Objectives: configurations.Objectives{
			AnsweredShare: 0.99, FirstTokenMS: 370, TokenGapMS: 34, ReplicasMS: 60_000,
		},
	}}})}
}

func newTestRecorder() *Recorder {
	return NewRecorder(testSource(), tally.NoopScope, zap.NewNop())
}

// sampleCounts returns three days of traffic in which one organisation has errors
// in the last half hour.
func sampleCounts() Counts {
	now := EpochMinute(testNow)
	counts := Counts{}
	for _, organisation := range []string{"alerta", "mwangaza"} {
		answered, first, gap := Buckets{}, Buckets{}, Buckets{}
		for minutesAgo := range int64(LongWindowMinutes) {
			answered[now-minutesAgo] = Count{Good: 100}
			first[now-minutesAgo] = Count{Good: 96, Late: 4}
			gap[now-minutesAgo] = Count{Good: 1000}
		}
		if organisation == "alerta" {
			for minutesAgo := range int64(30) {
				answered[now-minutesAgo] = Count{Good: 80, Late: 10, NotRun: 8, Unknown: 2}
				first[now-minutesAgo] = Count{Good: 50, Late: 50}
			}
		}
		counts[Series{"plant", organisation, ObjectiveAnswered}] = answered
		counts[Series{"plant", organisation, ObjectiveFirstToken}] = first
		counts[Series{"plant", organisation, ObjectiveTokenGap}] = gap
	}
	counts[Series{Deployment: "plant", Objective: ObjectiveReplicas}] = Buckets{now - 500: {Good: 1}, now - 300: {Late: 1}}
	counts[Series{"removed", "alerta", ObjectiveAnswered}] = Buckets{now: {Good: 1}}
	return counts
}

// Guards against unnoticed changes of the figures or the layout of the report.
func TestReportGolden(t *testing.T) {
	golden := goldie.New(t)
	report := NewReport(sampleCounts(), testSource().snapshot, testNow).WithMissing([]string{"entry-02"})
	golden.Assert(t, "report_text", []byte(report.Text()))
	encoded, err := report.JSON()
	if err != nil {
		t.Fatal(err)
	}
	golden.Assert(t, "report_json", encoded)
	golden.Assert(t, "empty_text", []byte(NewReport(Counts{}, testSource().snapshot, testNow).Text()))
	var plot bytes.Buffer
	if err := report.Plot(&plot, "svg"); err != nil || !strings.Contains(plot.String(), "plant first_token") {
		t.Fatalf("plot without its legend: %v", err)
	}
}

// Guards against counts that are lost or counted twice when buckets are merged by
// hour, and against buckets that are never deleted.
func TestCompactKeepsTotals(t *testing.T) {
	rapid.Check(t, func(check *rapid.T) {
		now := EpochMinute(testNow)
		buckets := Buckets{}
		for range rapid.IntRange(0, 600).Draw(check, "events") {
			minute := now - rapid.Int64Range(0, LongWindowMinutes-minutesPerHour).Draw(check, "ago")
			buckets[minute] = buckets[minute].Add(Count{Good: 1, Late: 1})
		}
		wantShort, wantLong := buckets.sumWindow(now, ShortWindowMinutes), buckets.sumWindow(now, LongWindowMinutes)
		later := now + rapid.Int64Range(0, 10).Draw(check, "later")
		buckets.compact(now)
		buckets.compact(now)
		if short, long := buckets.sumWindow(now, ShortWindowMinutes), buckets.sumWindow(now, LongWindowMinutes); short != wantShort || long != wantLong {
			check.Fatalf("short %v instead of %v, long %v instead of %v", short, wantShort, long, wantLong)
		}
		if limit := hourlyAfterMinutes + LongWindowMinutes/minutesPerHour + 2; len(buckets) > limit {
			check.Fatalf("%d buckets, at most %d are allowed", len(buckets), limit)
		}
		buckets.compact(later + LongWindowMinutes + 2*minutesPerHour)
		if len(buckets) != 0 {
			check.Fatalf("%d buckets remain after the long window", len(buckets))
		}
	})
}

// fakeStore is a table and an object store in memory.
type fakeStore struct {
	platform.Table
	mutex          sync.Mutex
	objects        map[string][]byte
	rows           map[string]platform.Row
	unavailable    bool
	getUnavailable bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[string][]byte{}, rows: map[string]platform.Row{}}
}

func (store *fakeStore) Put(_ context.Context, name string, body []byte) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.unavailable {
		return platform.ErrUnavailable
	}
	store.objects[name] = body
	return nil
}

func (store *fakeStore) Get(_ context.Context, name string) ([]byte, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.unavailable || store.getUnavailable {
		return nil, platform.ErrUnavailable
	}
	body, known := store.objects[name]
	if !known {
		return nil, platform.ErrNotFound
	}
	return body, nil
}

func (store *fakeStore) Transact(_ context.Context, conditions []platform.Condition, writes []platform.Write) (int64, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if row, exists := store.rows[conditions[0].Key]; exists && row.Revision != conditions[0].Revision {
		return 0, &platform.ConflictError{Rows: []platform.Row{row}}
	}
	store.rows[writes[0].Key] = platform.Row{Key: writes[0].Key, Value: writes[0].Value, Revision: 1}
	if writes[0].Delete {
		delete(store.rows, writes[0].Key)
	}
	return 1, nil
}

func (store *fakeStore) Scan(context.Context, string, int64) ([]platform.Row, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var rows []platform.Row
	for _, row := range store.rows {
		rows = append(rows, row)
	}
	return rows, nil
}

// Guards against counts that are lost when an entry restarts or leaves, and against
// an entry that starts during an outage of the store and overwrites its summary
// with an empty one. Only the counts since the last save, at most five minutes of
// them, may be lost.
func TestSummariesSurviveRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		runEntry := func(entry string, uptime time.Duration, answers int) *Recorder {
			recorder := newTestRecorder()
			ctx, crash := context.WithCancel(context.Background())
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				recorder.Run(ctx, NewArchive(entry, store, store))
			}()
			synctest.Wait()
			for range answers {
				recorder.RecordAnswered("plant", "alerta", true)
			}
			time.Sleep(uptime)
			store.mutex.Lock()
			store.unavailable = true // Makes the save on shutdown fail, as in a crash.
			store.mutex.Unlock()
			crash()
			<-stopped
			store.mutex.Lock()
			store.unavailable = false
			store.mutex.Unlock()
			return recorder
		}
		total := func(counts Counts) int64 {
			return counts[Series{"plant", "alerta", ObjectiveAnswered}].sumWindow(EpochMinute(time.Now()), LongWindowMinutes).Total()
		}
		convey.Convey("Counts survive a restart and are read from the archive after the entry has left", t, func() {
			runEntry("entry-01", SaveInterval+tickInterval, 100)
			restarted := runEntry("entry-01", SaveInterval+tickInterval, 10)
			convey.So(total(restarted.Counts()), convey.ShouldEqual, 110)

			store.getUnavailable = true
			recorder := newTestRecorder()
			ctx, crash := context.WithCancel(context.Background())
			go recorder.Run(ctx, NewArchive("entry-01", store, store))
			time.Sleep(2 * SaveInterval)
			store.mutex.Lock()
			store.getUnavailable = false
			store.mutex.Unlock()
			time.Sleep(SaveInterval)
			crash()
			synctest.Wait()
			convey.So(total(recorder.Counts()), convey.ShouldEqual, 110)

			merged, missing := GatherCounts(context.Background(), newTestRecorder(), NewArchive("entry-02", store, store), nil)
			convey.So(missing, convey.ShouldBeEmpty)
			convey.So(total(merged), convey.ShouldEqual, 110)
			time.Sleep((LongWindowMinutes + 2*minutesPerHour) * time.Minute)
			_, _ = GatherCounts(context.Background(), newTestRecorder(), NewArchive("entry-02", store, store), nil)
			convey.So(store.rows, convey.ShouldBeEmpty)
		})
	})
}

// Guards against refusals that the caller caused but that use up the budget, and
// against memory that grows with the number of organisations.
func TestRecorder(t *testing.T) {
	convey.Convey("Given a recorder", t, func() {
		recorder := newTestRecorder()
		convey.Convey("only refusals that the service caused are counted", func() {
			recorder.RecordNotRun("plant", "alerta", requests.CodeMalformed)
			recorder.RecordNotRun("plant", "alerta", requests.CodeLimitReached)
			convey.So(recorder.Counts(), convey.ShouldBeEmpty)
			recorder.RecordNotRun("plant", "alerta", requests.CodeOverloaded)
			convey.So(recorder.Counts(), convey.ShouldHaveLength, 1)
		})
		convey.Convey("the number of series is limited and further organisations are counted together", func() {
			for index := range MaxSeries + 100 {
				recorder.RecordAnswered("plant", fmt.Sprint("o", index), true)
			}
			counts := recorder.Counts()
			convey.So(len(counts), convey.ShouldEqual, MaxSeries+1)
			convey.So(counts[Series{"plant", OtherOrganisations, ObjectiveAnswered}].sumWindow(EpochMinute(time.Now())+1, LongWindowMinutes).Total(), convey.ShouldEqual, 100)
		})
		convey.Convey("counts that exceed one page are split into pages without loss", func() {
			all := sampleCounts()
			merged, first := Counts{}, countsPage(all, nil)
			for result := first; ; result = countsPage(all, &result.Series[len(result.Series)-1].Series) {
				merged = Merge(merged, decodeCounts(result.Series))
				if !result.More {
					break
				}
			}
			convey.So(first.More, convey.ShouldBeTrue)
			convey.So(merged, convey.ShouldResemble, all)
		})
	})
}

// Guards against a report that fails because an entry or the archive can't be read.
func TestGatherReportsMissing(t *testing.T) {
	convey.Convey("A peer without a link and an unreadable archive are listed as missing", t, func() {
		store := newFakeStore()
		store.rows[archivePrefix+"old"] = platform.Row{Key: archivePrefix + "old", Revision: 1}
		store.unavailable = true
		recorder := newTestRecorder()
		recorder.RecordUnknown("plant", "alerta")
		counts, missing := GatherCounts(context.Background(), recorder, NewArchive("entry-01", store, store), map[string]*links.Link{"entry-02": nil})
		convey.So(missing, convey.ShouldResemble, []string{"entry-02", "summaries of departed entries"})
		convey.So(counts, convey.ShouldHaveLength, 1)
		_, err := NewArchive("entry-01", store, store).Load(context.Background())
		convey.So(errors.Is(err, platform.ErrUnavailable), convey.ShouldBeTrue)
	})
}

// BenchmarkRecord measures the cost of recording a request and a token.
func BenchmarkRecord(b *testing.B) {
	recorder := newTestRecorder()
	b.Run("answered", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			recorder.RecordAnswered("plant", "alerta", true)
		}
	})
	b.Run("token_gap", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			recorder.RecordTokenGap("plant", "alerta", 10*time.Millisecond)
		}
	})
	b.Run("token_gap_parallel", func(b *testing.B) {
		b.RunParallel(func(loop *testing.PB) {
			for loop.Next() {
				recorder.RecordTokenGap("plant", "alerta", 10*time.Millisecond)
			}
		})
	})
}

// Guards against a burn.counts message that the receiving entry can't decode.
func TestCountsOverALink(t *testing.T) {
	convey.Convey("An entry fetches the counts of another entry", t, func() {
		peer := newTestRecorder()
		peer.RecordAnswered("plant", "alerta", true)
		peer.RecordFirstToken("plant", "alerta", time.Second)
		peer.RecordReplicas("plant", time.Second)
		router := links.NewRouter()
		Register(router, peer)
		options := links.Options{Key: []byte("k"), Router: router, Logger: zap.NewNop()}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = links.Serve(ctx, listener, options) }()
		link, err := links.Dial(ctx, listener.Addr().String(), links.Options{Key: []byte("k"), Router: links.NewRouter(), Logger: zap.NewNop()})
		convey.So(err, convey.ShouldBeNil)
		defer link.Close()
		store := newFakeStore()
		counts, missing := GatherCounts(ctx, newTestRecorder(), NewArchive("entry-01", store, store), map[string]*links.Link{"entry-02": link})
		convey.So(missing, convey.ShouldBeEmpty)
		convey.So(counts, convey.ShouldResemble, peer.Counts())
		convey.So(counts, convey.ShouldNotBeEmpty)
	})
}

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

// sample holds traffic of three days in which one organisation fails in the
// last hour.
func sample() Counts {
	now := EpochMinute(testNow)
	counts := Counts{}
	for _, organisation := range []string{"alerta", "mwangaza"} {
		answered, first, gap := Buckets{}, Buckets{}, Buckets{}
		for ago := range int64(LongWindowMinutes) {
			answered[now-ago] = Count{Good: 100}
			first[now-ago] = Count{Good: 96, Late: 4}
			gap[now-ago] = Count{Good: 1000}
		}
		if organisation == "alerta" {
			for ago := range int64(30) {
				answered[now-ago] = Count{Good: 80, Late: 10, NotRun: 8, Unknown: 2}
				first[now-ago] = Count{Good: 50, Late: 50}
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

// Guards against a report whose figures or layout change unnoticed.
func TestReportGolden(t *testing.T) {
	golden := goldie.New(t)
	summary := NewReport(sample(), testSource().snapshot, testNow).WithMissing([]string{"entry-02"})
	golden.Assert(t, "report_text", []byte(summary.Text()))
	encoded, err := summary.JSON()
	if err != nil {
		t.Fatal(err)
	}
	golden.Assert(t, "report_json", encoded)
	golden.Assert(t, "empty_text", []byte(NewReport(Counts{}, testSource().snapshot, testNow).Text()))
	var plot bytes.Buffer
	if err := summary.Plot(&plot, "svg"); err != nil || !strings.Contains(plot.String(), "plant first_token") {
		t.Fatalf("plot without its legend: %v", err)
	}
}

// Guards against counts that are lost or counted twice when minutes are added up
// by the hour or entries are merged.
func TestCompactKeepsTotals(t *testing.T) {
	rapid.Check(t, func(check *rapid.T) {
		now := EpochMinute(testNow)
		cells := Buckets{}
		for range rapid.IntRange(0, 600).Draw(check, "events") {
			minute := now - rapid.Int64Range(0, LongWindowMinutes-hour).Draw(check, "ago")
			cells[minute] = cells[minute].Add(Count{Good: 1, Late: 1})
		}
		wantShort, wantLong := cells.within(now, ShortWindowMinutes), cells.within(now, LongWindowMinutes)
		later := now + rapid.Int64Range(0, 10).Draw(check, "later")
		cells.compact(now)
		cells.compact(now)
		if short, long := cells.within(now, ShortWindowMinutes), cells.within(now, LongWindowMinutes); short != wantShort || long != wantLong {
			check.Fatalf("short %v instead of %v, long %v instead of %v", short, wantShort, long, wantLong)
		}
		if most := minutesKept + LongWindowMinutes/hour + 2; len(cells) > most {
			check.Fatalf("%d cells, at most %d are allowed", len(cells), most)
		}
		cells.compact(later + LongWindowMinutes + 2*hour)
		if len(cells) != 0 {
			check.Fatalf("%d cells stay after the long window", len(cells))
		}
	})
}

type fakeStore struct {
	platform.Table
	mutex   sync.Mutex
	objects map[string][]byte
	rows    map[string]platform.Row
	out     bool
	getOut  bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[string][]byte{}, rows: map[string]platform.Row{}}
}

func (store *fakeStore) Put(_ context.Context, name string, body []byte) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.out {
		return platform.ErrUnavailable
	}
	store.objects[name] = body
	return nil
}

func (store *fakeStore) Get(_ context.Context, name string) ([]byte, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.out || store.getOut {
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

// Guards against counts that are lost with an entry, and against an entry that
// starts during an outage and replaces its summary by an empty one.
func TestReplacedEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		run := func(entry string, span time.Duration, answers int) *Recorder {
			recorder := newTestRecorder()
			ctx, crash := context.WithCancel(context.Background())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				recorder.Run(ctx, NewArchive(entry, store, store))
			}()
			synctest.Wait()
			for range answers {
				recorder.RecordAnswered("plant", "alerta", true)
			}
			time.Sleep(span)
			store.mutex.Lock()
			store.out = true // What a crash would not save must not count.
			store.mutex.Unlock()
			crash()
			<-ended
			store.mutex.Lock()
			store.out = false
			store.mutex.Unlock()
			return recorder
		}
		total := func(counts Counts) int64 {
			return counts[Series{"plant", "alerta", ObjectiveAnswered}].within(EpochMinute(time.Now()), LongWindowMinutes).Total()
		}
		convey.Convey("Counts survive, up to five minutes of them", t, func() {
			run("entry-01", SaveInterval+saveRetryPause, 100)
			again := run("entry-01", SaveInterval+saveRetryPause, 10)
			convey.So(total(again.Counts()), convey.ShouldEqual, 110)

			store.getOut = true
			recorder := newTestRecorder()
			ctx, crash := context.WithCancel(context.Background())
			go recorder.Run(ctx, NewArchive("entry-01", store, store))
			time.Sleep(2 * SaveInterval)
			store.mutex.Lock()
			store.getOut = false
			store.mutex.Unlock()
			time.Sleep(SaveInterval)
			crash()
			synctest.Wait()
			convey.So(total(recorder.Counts()), convey.ShouldEqual, 110)

			merged, missing := GatherCounts(context.Background(), newTestRecorder(), NewArchive("entry-02", store, store), nil)
			convey.So(missing, convey.ShouldBeEmpty)
			convey.So(total(merged), convey.ShouldEqual, 110)
			time.Sleep((LongWindowMinutes + 2*hour) * time.Minute)
			_, _ = GatherCounts(context.Background(), newTestRecorder(), NewArchive("entry-02", store, store), nil)
			convey.So(store.rows, convey.ShouldBeEmpty)
		})
	})
}

// Guards against refusals that the caller has brought about but that burn the
// budget, and against memory that grows with the number of organisations.
func TestRecorder(t *testing.T) {
	convey.Convey("Given a recorder", t, func() {
		recorder := newTestRecorder()
		convey.Convey("only the service's own refusals count", func() {
			recorder.RecordNotRun("plant", "alerta", requests.CodeMalformed)
			recorder.RecordNotRun("plant", "alerta", requests.CodeLimitReached)
			convey.So(recorder.Counts(), convey.ShouldBeEmpty)
			recorder.RecordNotRun("plant", "alerta", requests.CodeOverloaded)
			convey.So(recorder.Counts(), convey.ShouldHaveLength, 1)
		})
		convey.Convey("series are bounded and pages hold all of them", func() {
			for index := range MaxSeries + 100 {
				recorder.RecordAnswered("plant", fmt.Sprint("o", index), true)
			}
			counts := recorder.Counts()
			convey.So(len(counts), convey.ShouldEqual, MaxSeries+1)
			convey.So(counts[Series{"plant", OtherOrganisations, ObjectiveAnswered}].within(EpochMinute(time.Now())+1, LongWindowMinutes).Total(), convey.ShouldEqual, 100)
		})
		convey.Convey("a page that is full is followed by the rest", func() {
			all := sample()
			merged, first := Counts{}, page(all, nil)
			for result := first; ; result = page(all, &result.Series[len(result.Series)-1].Series) {
				merged = Merge(merged, decodeSeries(result.Series))
				if !result.More {
					break
				}
			}
			convey.So(first.More, convey.ShouldBeTrue)
			convey.So(merged, convey.ShouldResemble, all)
		})
	})
}

// Guards against a summary that can't be read stopping the report.
func TestGatherReportsMissing(t *testing.T) {
	convey.Convey("A peer without a link and an unreadable archive are named", t, func() {
		store := newFakeStore()
		store.rows[archivePrefix+"old"] = platform.Row{Key: archivePrefix + "old", Revision: 1}
		store.out = true
		recorder := newTestRecorder()
		recorder.RecordUnknown("plant", "alerta")
		counts, missing := GatherCounts(context.Background(), recorder, NewArchive("entry-01", store, store), map[string]*links.Link{"entry-02": nil})
		convey.So(missing, convey.ShouldResemble, []string{"entry-02", "summaries of departed entries"})
		convey.So(counts, convey.ShouldHaveLength, 1)
		_, err := NewArchive("entry-01", store, store).Load(context.Background())
		convey.So(errors.Is(err, platform.ErrUnavailable), convey.ShouldBeTrue)
	})
}

// BenchmarkRecord measures the cost that each request and token pays.
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

// Guards against a message that its receiver can't decode.
func TestCountsOverALink(t *testing.T) {
	convey.Convey("An entry collects the counts of another", t, func() {
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

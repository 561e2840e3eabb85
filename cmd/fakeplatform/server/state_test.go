package server

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	_ "firford/lib/fixedseed"
	"firford/lib/platform"
)

// reopen returns the table that a server reads from the folder.
func reopen(t *rapid.T, folder string) *table {
	table := newTable()
	state, err := openState(folder, table, map[string][]byte{}, newOrigin(0, nil))
	if err != nil {
		t.Fatal(err)
	}
	table.commit = state.commit
	return table
}

// TestJournalCrashPoints guards against transactions that are lost although they were
// answered: a crash left an incomplete last line, the next one joined it, and the restart
// after that lost both and all later ones. It cuts the journal at random places within
// the last line and goes on.
func TestJournalCrashPoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder, err := os.MkdirTemp("", "firford-journal-")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = os.RemoveAll(folder) }()
		path := filepath.Join(folder, tableFile)
		answered := map[string]string{}
		for start := range rapid.IntRange(1, 4).Draw(t, "starts") {
			table := reopen(t, folder)
			for key, value := range answered {
				if row, _ := table.read(key); string(row.Value) != value {
					t.Fatalf("start %d: row %s is %q instead of %q", start, key, row.Value, value)
				}
			}
			for number := range rapid.IntRange(0, 3).Draw(t, "transactions") {
				key, value := fmt.Sprint("key-", number), fmt.Sprint("value-", start)
				if _, _, err := table.transact(nil, []platform.Write{{Key: key, Value: []byte(value)}}); err != nil {
					t.Fatal(err)
				}
				answered[key] = value
			}
			before, _ := os.ReadFile(path)
			if _, _, err := table.transact(nil, []platform.Write{{Key: "unanswered", Value: []byte(fmt.Sprint(start))}}); err != nil {
				t.Fatal(err)
			}
			after, _ := os.ReadFile(path)
			cut := rapid.IntRange(len(before), len(after)).Draw(t, "cut")
			if err := os.WriteFile(path, after[:cut], 0o600); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// Guards against an object that readers see although a restart loses it, and against a
// full store that refuses to replace an object.
func TestObjectsAreVisibleOnceSaved(t *testing.T) {
	convey.Convey("Given a server that cannot save objects", t, func() {
		server := New(Settings{})
		convey.So(server.PersistState(t.TempDir()), convey.ShouldBeNil)
		server.state.folder = filepath.Join(server.state.folder, "absent")
		put := func(name string) int {
			var ctx fasthttp.RequestCtx
			ctx.Request.Header.SetMethod(fasthttp.MethodPut)
			ctx.Request.SetBodyString("x")
			server.handleObject(&ctx, name)
			return ctx.Response.StatusCode()
		}
		convey.So(put("a"), convey.ShouldEqual, fasthttp.StatusServiceUnavailable)
		convey.So(server.objects, convey.ShouldBeEmpty)
	})
	convey.Convey("Given a server with as many objects as it takes, one of them can be replaced", t, func() {
		server := New(Settings{})
		for i := range maxObjects {
			server.objects[fmt.Sprint(i)] = nil
		}
		put := func(name string) int {
			var ctx fasthttp.RequestCtx
			ctx.Request.Header.SetMethod(fasthttp.MethodPut)
			ctx.Request.SetBodyString("x")
			server.handleObject(&ctx, name)
			return ctx.Response.StatusCode()
		}
		convey.So(put("0"), convey.ShouldEqual, fasthttp.StatusOK)
		convey.So(put("new"), convey.ShouldEqual, fasthttp.StatusInsufficientStorage)
	})
}

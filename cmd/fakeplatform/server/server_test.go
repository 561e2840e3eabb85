package server

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"firford/lib/hosts"
	"firford/lib/platform"
)

const testToken = "t"

// startServer starts a server on a free port and returns its address.
func startServer(t *testing.T, settings Settings) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	settings.Token = testToken
	go func() {
		defer close(ended)
		_ = New(settings).Serve(ctx, listener)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return listener.Addr().String()
}

// setFaults changes the faults of the server and returns those that are active.
func setFaults(address, change string) FaultState {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + "/faults")
	request.SetBodyString(change)
	convey.So((&fasthttp.Client{}).Do(request, response), convey.ShouldBeNil)
	var state FaultState
	convey.So(json.Unmarshal(response.Body(), &state), convey.ShouldBeNil)
	return state
}

func counters(address string) Counters {
	_, body, err := fasthttp.Get(nil, "http://"+address+"/counters")
	convey.So(err, convey.ShouldBeNil)
	var total Counters
	convey.So(json.Unmarshal(body, &total), convey.ShouldBeNil)
	return total
}

// Guards against a fake that loses accepted writes when it is killed, which the
// real platform does not.
func TestPersistentState(t *testing.T) {
	convey.Convey("A second server on the same folder has the state of the first", t, func() {
		folder := t.TempDir()
		first := New(Settings{})
		convey.So(first.PersistState(folder), convey.ShouldBeNil)
		writes := []platform.Write{{Key: "a", Value: []byte("x")}, {Key: "b", Value: []byte("y")}}
		revision, _, err := first.table.transact(nil, writes)
		convey.So(err, convey.ShouldBeNil)
		_, _, err = first.table.transact(nil, []platform.Write{{Key: "b", Delete: true}})
		convey.So(err, convey.ShouldBeNil)
		convey.So(first.state.save(objectsFolder, "manifests/1", []byte("m")), convey.ShouldBeNil)

		second := New(Settings{})
		convey.So(second.PersistState(folder), convey.ShouldBeNil)
		row, known := second.table.read("a")
		convey.So(known, convey.ShouldBeTrue)
		convey.So(row.Revision, convey.ShouldEqual, revision)
		_, known = second.table.read("b")
		convey.So(known, convey.ShouldBeFalse)
		convey.So(second.table.revision, convey.ShouldEqual, revision+1)
		convey.So(string(second.objects["manifests/1"]), convey.ShouldEqual, "m")
	})
}

// Guards against a fake with weaker guarantees than the real table: lost updates,
// partly applied transactions, and scans that miss a write.
func TestTransactions(t *testing.T) {
	ctx := context.Background()
	convey.Convey("Given an empty table", t, func() {
		client := platform.New(startServer(t, Settings{}), testToken)
		absent := []platform.Condition{{Key: "a/1"}}
		write := []platform.Write{{Key: "a/1", Value: []byte("x")}, {Key: "b/1", Value: []byte("y")}}
		first, err := client.Transact(ctx, absent, write)
		convey.So(err, convey.ShouldBeNil)

		convey.Convey("a transaction with a violated condition writes nothing and returns the current row", func() {
			_, err := client.Transact(ctx, absent, []platform.Write{{Key: "a/2", Value: []byte("z")}})
			var conflict *platform.ConflictError
			convey.So(errors.As(err, &conflict), convey.ShouldBeTrue)
			row, _ := conflict.Row("a/1")
			convey.So(row, convey.ShouldResemble, platform.Row{Key: "a/1", Value: []byte("x"), Revision: first})
			_, err = client.Read(ctx, "a/2")
			convey.So(err, convey.ShouldEqual, platform.ErrNotFound)
		})
		convey.Convey("a scan returns the rows that changed after the revision, in order", func() {
			second, err := client.Transact(ctx, []platform.Condition{{Key: "a/1", Revision: first}}, []platform.Write{{Key: "a/1", Value: []byte("x2")}})
			convey.So(err, convey.ShouldBeNil)
			rows, err := client.Scan(ctx, "a/", first)
			convey.So(err, convey.ShouldBeNil)
			convey.So(rows, convey.ShouldResemble, []platform.Row{{Key: "a/1", Value: []byte("x2"), Revision: second}})
		})
		convey.Convey("a condition treats a deleted row as absent", func() {
			_, err := client.Transact(ctx, nil, []platform.Write{{Key: "a/1", Delete: true}})
			convey.So(err, convey.ShouldBeNil)
			_, err = client.Transact(ctx, absent, write)
			convey.So(err, convey.ShouldBeNil)
		})
		convey.Convey("a caller with another token is refused", func() {
			_, err := platform.New(startServer(t, Settings{}), "other").Read(ctx, "a/1")
			convey.So(errors.Is(err, platform.ErrUnavailable), convey.ShouldBeTrue)
		})
	})
}

// Guards against faults with another effect than tests of the system rely on: a
// write whose response is lost must take effect, a write in an outage must not.
func TestFaults(t *testing.T) {
	ctx := context.Background()
	write := []platform.Write{{Key: "a", Value: []byte("x")}}
	convey.Convey("Given a server", t, func() {
		address := startServer(t, Settings{WritesPerSecond: 3, ReadsPerSecond: 5})
		client := platform.New(address, testToken)
		convey.Convey("a write whose response is lost takes effect", func() {
			setFaults(address, `{"lose_answers":1,"seed":7}`)
			_, err := client.Transact(ctx, nil, write)
			convey.So(errors.Is(err, platform.ErrOutcomeUnknown), convey.ShouldBeTrue)
			row, err := client.Read(ctx, "a")
			convey.So(err, convey.ShouldBeNil)
			convey.So(string(row.Value), convey.ShouldEqual, "x")
			convey.So(counters(address).LostAnswers, convey.ShouldEqual, 1)
		})
		convey.Convey("writes during an outage are refused and have no effect", func() {
			setFaults(address, `{"outage":true}`)
			_, err := client.Transact(ctx, nil, write)
			convey.So(errors.Is(err, platform.ErrUnavailable), convey.ShouldBeTrue)
			setFaults(address, `{"outage":false}`)
			_, err = client.Read(ctx, "a")
			convey.So(err, convey.ShouldEqual, platform.ErrNotFound)
		})
		convey.Convey("writes above the rate limit are refused and counted", func() {
			refused := 0
			for range 20 {
				if _, err := client.Transact(ctx, nil, write); errors.Is(err, platform.ErrUnavailable) {
					refused++
				}
			}
			convey.So(refused, convey.ShouldBeGreaterThan, 0)
			convey.So(counters(address).RefusedWrites, convey.ShouldEqual, refused)
			convey.So(counters(address).WritesByPrefix["a"], convey.ShouldEqual, 20-refused)
		})
		convey.Convey("a frozen connection stays silent while a new connection works", func() {
			convey.So(client.Put(ctx, "o", []byte("1")), convey.ShouldBeNil)
			convey.So(setFaults(address, `{"freeze":true}`).Frozen, convey.ShouldBeGreaterThan, 0)
			limited, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
			defer cancel()
			_, err := client.Get(limited, "o")
			convey.So(errors.Is(err, platform.ErrUnavailable), convey.ShouldBeTrue)
			body, err := platform.New(address, testToken).Get(ctx, "o")
			convey.So(err, convey.ShouldBeNil)
			convey.So(string(body), convey.ShouldEqual, "1")
		})
	})
}

// Guards against an origin that returns other bytes than the requested range,
// miscounts the bytes sent, or ignores its outage.
func TestOrigin(t *testing.T) {
	ctx := context.Background()
	convey.Convey("Given weights in the origin", t, func() {
		address := startServer(t, Settings{OriginBytesPerSecond: 4 << 20})
		store := platform.New(address, testToken).Weights()
		content := bytes.Repeat([]byte("0123456789abcdef"), 8<<10)
		convey.So(store.Put(ctx, "plant/v1", bytes.NewReader(content), int64(len(content))), convey.ShouldBeNil)
		convey.Convey("a range read returns exactly its bytes and counts them", func() {
			part, err := store.ReadRange(ctx, "plant/v1", 5, 100_000)
			convey.So(err, convey.ShouldBeNil)
			convey.So(bytes.Equal(part, content[5:100_005]), convey.ShouldBeTrue)
			convey.So(counters(address).OriginBytes, convey.ShouldEqual, 100_000)
		})
		convey.Convey("an outage refuses reads", func() {
			setFaults(address, `{"origin_outage":true}`)
			_, err := store.ReadRange(ctx, "plant/v1", 0, 10)
			convey.So(errors.Is(err, platform.ErrUnavailable), convey.ShouldBeTrue)
		})
	})
}

// Guards against a membership list that shows changes too early or out of order.
func TestMembershipLag(t *testing.T) {
	convey.Convey("A change is visible only after its lag", t, func() {
		start := time.Unix(1000, 0)
		list := newMembership([]hosts.Host{{Name: "a"}})
		list.addChange(memberChange{name: "b", host: hosts.Host{Name: "b", Leaving: true}, visibleAt: start.Add(2 * time.Second)})
		list.addChange(memberChange{name: "a", removed: true, visibleAt: start.Add(3 * time.Second)})
		for second, want := range [][]string{{"a"}, {"a"}, {"a", "b"}, {"b"}} {
			var names []string
			for _, host := range list.list(start.Add(time.Duration(second) * time.Second)) {
				names = append(names, host.Name)
			}
			convey.So(names, convey.ShouldResemble, want)
		}
	})
	convey.Convey("Hosts are registered and removed over HTTP", t, func() {
		address := startServer(t, Settings{})
		client := platform.New(address, testToken)
		for _, name := range []string{"x", "y"} {
			changeMembership(fasthttp.MethodPut, address, name)
		}
		changeMembership(fasthttp.MethodDelete, address, "x")
		list, err := client.List(context.Background())
		convey.So(err, convey.ShouldBeNil)
		convey.So(list, convey.ShouldResemble, []hosts.Host{{Name: "y", Role: hosts.RoleAgent, Leaving: true}})
	})
}

// changeMembership sends a request that registers or removes a host.
func changeMembership(method, address, name string) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.Header.SetMethod(method)
	request.Header.Set("Authorization", "Bearer "+testToken)
	request.SetRequestURI("http://" + address + "/membership/" + name)
	request.SetBodyString(`{"role":"agent","leaving":true}`)
	convey.So((&fasthttp.Client{}).Do(request, response), convey.ShouldBeNil)
	convey.So(response.StatusCode(), convey.ShouldEqual, fasthttp.StatusOK)
}

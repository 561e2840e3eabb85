package routes

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"firford/lib/regions"
)

func table() Table {
	return New(Configuration{
		Version: 7,
		Routes: []Route{
			{Name: "short", Host: "Desk.example", Prefix: "/a/", Priority: 2, Shares: []Share{{Service: "desk", Weight: 1}}},
			{Name: "long", Host: "desk.example", Prefix: "/a/b/", Priority: 2, Shares: []Share{{Service: "desk", Weight: 1}}},
			{Name: "urgent", Host: "desk.example", Prefix: "/urgent/", Priority: 0, Shares: []Share{{Service: "desk", Weight: 1}}},
			{Name: "open", Host: "desk.example", Prefix: "/open/", Public: true},
		},
		Services: []Service{{Name: "desk"}, {Name: "pool", Engine: &Engine{Slots: 16}}, {Name: "weights", Origin: "127.0.0.1:1"}},
		Keys:     map[string]Organisation{"key-1": {Name: "buyers", Priority: DefaultPriority}, "key-2": {Name: "drivers", Priority: 0}},
	})
}

// Guards against requests that are sent to the service of another route.
func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	convey.Convey("Given routes with nested prefixes", t, func() {
		for _, each := range []struct{ host, path, route string }{
			{"desk.example", "/a/x", "short"},
			{"DESK.example:8080", "/a/b/x", "long"},
			{"desk.example", "/a/bx", "short"},
			{"desk.example", "/open/", "open"},
		} {
			match, err := table().Match(each.host, each.path, "key-1")
			convey.So(err, convey.ShouldBeNil)
			convey.So(match.Route.Name, convey.ShouldEqual, each.route)
		}
		for _, each := range []struct{ host, path string }{{"other.example", "/a/x"}, {"desk.example", "/b/"}, {"desk.example", "/a"}} {
			_, err := table().Match(each.host, each.path, "key-1")
			convey.So(err, convey.ShouldEqual, ErrNoRoute)
		}
	})
}

// Guards against requests that run without a key or with a revoked key.
func TestMatchChecksTheKey(t *testing.T) {
	convey.Convey("Given organisations with keys", t, func() {
		_, err := table().Match("desk.example", "/a/", "gone")
		convey.So(err, convey.ShouldEqual, ErrUnknownKey)
		match, err := table().Match("desk.example", "/open/", "")
		convey.So(err, convey.ShouldBeNil)
		convey.So(match.Organisation.Name, convey.ShouldBeEmpty)
	})
}

// Guards against requests that run with a revoked, an invented or no key, once the last key
// of all organisations is taken away: that must not look like a configuration without
// organisations.
func TestMatchChecksTheKeyWithoutAnyKey(t *testing.T) {
	open := Route{Name: "open", Host: "desk.example", Prefix: "/open/", Public: true}
	closed := Route{Name: "short", Host: "desk.example", Prefix: "/a/"}
	convey.Convey("Given organisations none of which has a key", t, func() {
		withoutKeys := New(Configuration{Version: 8, Routes: []Route{open, closed}, RequiresKey: true})
		for _, key := range []string{"revoked", ""} {
			_, err := withoutKeys.Match("desk.example", "/a/", key)
			convey.So(err, convey.ShouldEqual, ErrUnknownKey)
		}
		_, err := withoutKeys.Match("desk.example", "/open/", "")
		convey.So(err, convey.ShouldBeNil)
	})
	convey.Convey("Given a configuration without organisations, requests need no key", t, func() {
		_, err := New(Configuration{Version: 8, Routes: []Route{closed}}).Match("desk.example", "/a/", "")
		convey.So(err, convey.ShouldBeNil)
	})
	convey.Convey("Given an organisation with an empty key, requests without a key are still refused", t, func() {
		withEmptyKey := New(Configuration{Version: 8, Routes: []Route{closed}, RequiresKey: true, Keys: map[string]Organisation{"": {Name: "buyers"}}})
		_, err := withEmptyKey.Match("desk.example", "/a/", "")
		convey.So(err, convey.ShouldEqual, ErrUnknownKey)
	})
}

// Guards against a route's priority that overrides the organisation's, and against an
// organisation's that leaves the route's without effect.
func TestRankComparesTheOrganisationThenTheRoute(t *testing.T) {
	convey.Convey("Given organisations with and without a priority", t, func() {
		plain, _ := table().Match("desk.example", "/a/", "key-1")
		prioritised, _ := table().Match("desk.example", "/a/", "key-2")
		urgent, _ := table().Match("desk.example", "/urgent/", "key-2")
		convey.So(plain.Rank(), convey.ShouldResemble, Rank{Organisation: 2, Route: 2})
		convey.So(prioritised.Rank(), convey.ShouldResemble, Rank{Organisation: 0, Route: 2})
		convey.So(prioritised.Rank().Compare(plain.Rank()), convey.ShouldBeLessThan, 0)
		convey.So(urgent.Rank().Compare(prioritised.Rank()), convey.ShouldBeLessThan, 0)
		convey.So(plain.Rank().Compare(plain.Rank()), convey.ShouldEqual, 0)
	})
}

// Guards against split routes that do not follow their weights.
func TestPickServiceFollowsTheWeights(t *testing.T) {
	convey.Convey("Given a split of 90 to 10", t, func() {
		route := Route{Shares: []Share{{Service: "pool", Weight: 90}, {Service: "trial", Weight: 10}}}
		convey.So(route.PickService(0), convey.ShouldEqual, "pool")
		convey.So(route.PickService(0.89), convey.ShouldEqual, "pool")
		convey.So(route.PickService(0.91), convey.ShouldEqual, "trial")
		convey.So(Route{}.PickService(0.5), convey.ShouldBeEmpty)
	})
}

// Guards against a stream that cannot be continued being sent twice.
func TestMayRetry(t *testing.T) {
	convey.Convey("Given each kind of route", t, func() {
		convey.So(Route{RetryMode: AtMostOnce}.MayRetry(), convey.ShouldBeFalse)
		convey.So(Route{RetryMode: AtMostOnce, Resumable: true}.MayRetry(), convey.ShouldBeFalse)
		convey.So(Route{RetryMode: Idempotent}.MayRetry(), convey.ShouldBeTrue)
		convey.So(Route{RetryMode: Stream}.MayRetry(), convey.ShouldBeFalse)
		convey.So(Route{RetryMode: Stream, Resumable: true}.MayRetry(), convey.ShouldBeTrue)
	})
}

// Guards against a route and an organisation of which only one limits a request.
func TestHomeRegionsOfRouteAndOrganisationBothApply(t *testing.T) {
	convey.Convey("Given a route and an organisation with and without home regions", t, func() {
		for _, each := range []struct{ route, organisation, want regions.Set }{
			{regions.Set{}, regions.Set{}, regions.Set{}},
			{regions.Only("north", "south"), regions.Set{}, regions.Only("north", "south")},
			{regions.Set{}, regions.Only("south"), regions.Only("south")},
			{regions.Only("north", "south"), regions.Only("south", "west"), regions.Only("south")},
			{regions.Only("north"), regions.Only("south"), regions.Only()},
		} {
			match := Match{Route: Route{Regions: each.route}, Organisation: Organisation{Regions: each.organisation}}
			convey.So(match.Regions().String(), convey.ShouldEqual, each.want.String())
			convey.So(match.Regions().IsEmpty(), convey.ShouldEqual, each.want.IsEmpty())
		}
	})
}

package paces

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// Guards against a wrong pace that counts for ever, against a true one that does not count
// because predictions are too short anyway, and against trust that never returns.
func TestTrust(t *testing.T) {
	const usual = 100 * time.Millisecond
	service := ServiceTrust{}
	for range 60 {
		service = service.With(Compare(usual, 1, 2*usual))
	}
	convey.Convey("Given a service whose work takes twice as long as predicted at the usual pace", t, func() {
		trust := Trust{}
		convey.So(trust.IsGiven(), convey.ShouldBeTrue)
		convey.Convey("Then a pace of 250 counts while work takes 2.5 times as long as that", func() {
			for range 10 {
				trust = trust.With(Compare(usual, 2.5, 5*usual), service)
				convey.So(trust.IsGiven(), convey.ShouldBeTrue)
			}
		})
		convey.Convey("Then it counts no more after two answers at the usual pace, and again after true ones", func() {
			for range 2 {
				trust = trust.With(Compare(usual, 2.5, 2*usual), service)
			}
			convey.So(trust.IsGiven(), convey.ShouldBeFalse)
			for range 4 {
				trust = trust.With(Compare(usual, 2.5, 5*usual), service)
			}
			convey.So(trust.IsGiven(), convey.ShouldBeTrue)
		})
		convey.Convey("Then the service counts no more if that holds for its servers", func() {
			for range 10 {
				service = service.With(Compare(usual, 2.5, 2*usual))
			}
			convey.So(service.IsGiven(), convey.ShouldBeFalse)
		})
	})
	convey.Convey("Times that are not known change nothing", t, func() {
		convey.So(Trust{}.With(Compare(0, 2.5, usual), service), convey.ShouldResemble, Trust{})
		convey.So(ServiceTrust{}.With(Compare(usual, 2.5, 0)), convey.ShouldResemble, ServiceTrust{})
	})
}

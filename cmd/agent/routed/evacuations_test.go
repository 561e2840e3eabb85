package routed

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"firford/lib/directives"
)

// Guards against an agent that does not pass an evacuation on to entries that know less,
// or that tells an older state.
func TestAgentsPassOnEvacuations(t *testing.T) {
	convey.Convey("Given an agent that was told of an evacuation and then of its end", t, func() {
		agent := newAgent()
		announced := func(state *directives.EvacuationState) *directives.EvacuationState {
			return agent.applyAnnouncement(directives.Announcement{Evacuations: state}).Evacuations
		}
		began := &directives.EvacuationState{Epoch: 1, Revision: 100, DataCentres: []string{"hall"}}
		ended := &directives.EvacuationState{Epoch: 1, Revision: 110}
		convey.So(announced(nil), convey.ShouldBeNil)
		convey.So(announced(began), convey.ShouldBeNil)
		convey.So(announced(nil), convey.ShouldResemble, began)
		convey.So(announced(ended), convey.ShouldBeNil)
		convey.So(announced(began), convey.ShouldResemble, ended)
		convey.So(announced(nil), convey.ShouldBeNil)
	})
}

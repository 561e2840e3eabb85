package loads

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"firford/lib/directives"
	"firford/lib/placements"
)

// evacuatingSource is an entry that knows of an evacuation, or hears of one.
type evacuatingSource struct {
	announcementSource
	known *directives.EvacuationState
	told  chan *directives.EvacuationState
}

func (source evacuatingSource) EvacuationNews(time.Time) *directives.EvacuationState {
	return source.known
}

func (source evacuatingSource) ApplyEvacuations(told *directives.EvacuationState, _ time.Time) {
	select {
	case source.told <- told:
	default:
	}
}

// Guards against an entry without the store that does not hear of an evacuation because
// the agent that knew of it has died.
func TestEvacuationsAreHeardWhenAnAgentDies(t *testing.T) {
	convey.Convey("Given three agents, one of which has died, and two entries, one of which knows of an evacuation", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var agents []netip.AddrPort
		for i := range 3 {
			conn, agent := listen(t)
			agents = append(agents, agent)
			if i == 0 {
				_ = conn.Close()
				continue
			}
			// The announcements of a reporter are handled by one goroutine.
			var kept *directives.EvacuationState
			go NewReporter(conn, func(announcement directives.Announcement) AnnouncementReply {
				if announcement.Evacuations != nil {
					kept = announcement.Evacuations
				}
				return AnnouncementReply{Evacuations: kept}
			}, zap.NewNop()).Run(ctx)
		}
		state := &directives.EvacuationState{Epoch: 1, Revision: 100, DataCentres: []string{"hall"}}
		start := func(source evacuatingSource) *Listener {
			conn, _ := listen(t)
			listener := NewListener(conn, func() []netip.AddrPort { return agents }, source, noLimits{}, noCrashes{}, func(placements.Report) {}, zap.NewNop())
			go listener.Run(ctx)
			return listener
		}
		cutOff := evacuatingSource{told: make(chan *directives.EvacuationState, 1)}
		start(cutOff)
		start(evacuatingSource{known: state, told: make(chan *directives.EvacuationState, 1)}).NotifyEvacuations()
		var heard *directives.EvacuationState
		select {
		case heard = <-cutOff.told:
		case <-time.After(5 * time.Second):
		}
		convey.So(heard, convey.ShouldResemble, state)
	})
}

package assembly

import (
	"context"
	"time"

	"firford/lib/links"
	"firford/lib/transfers"
)

// trafficInterval is how often the rates of transfers are adapted to the bandwidth
// that requests use.
const trafficInterval = time.Second

// followRequestTraffic makes transfers leave the bandwidth free that requests
// use on the host's network link. It counts all bytes on the connections to the
// entries, because the texts of an answer are only a small part of its traffic.
func (agent *agent) followRequestTraffic(ctx context.Context) {
	ticker := time.NewTicker(trafficInterval)
	defer ticker.Stop()
	previous := map[*links.Link]int64{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var bytesPerS int64
		current := map[*links.Link]int64{}
		for _, link := range agent.stateNotifier.links() {
			received, sent := link.Bytes()
			current[link] = max(received, sent)
			bytesPerS += current[link] - previous[link]
		}
		previous = current
		agent.transfers.SetLiveLoad(transfers.LiveLoad{BytesPerS: bytesPerS})
	}
}

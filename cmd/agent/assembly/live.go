package assembly

import (
	"context"
	"time"

	"firford/lib/links"
	"firford/lib/transfers"
)

// liveInterval is how often transfers learn what live requests need of the link.
const liveInterval = time.Second

// followLive makes transfers leave the part of the host's link free that the
// requests of entries use. The bytes of the links are counted, because the
// texts of an answer are a small part of what it takes on the link.
func (agent *agent) followLive(ctx context.Context) {
	ticker := time.NewTicker(liveInterval)
	defer ticker.Stop()
	counted := map[*links.Link]int64{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var live int64
		current := map[*links.Link]int64{}
		for _, link := range agent.states.links() {
			received, sent := link.Bytes()
			current[link] = max(received, sent)
			live += current[link] - counted[link]
		}
		counted = current
		agent.transfers.SetLiveLoad(transfers.LiveLoad{BytesPerS: live})
	}
}

package links

import (
	"context"
	"sync"
	"time"

	"firford/lib/hosts"
)

const (
	maxParallelDials = 32
	exchangeTimeout  = 3 * time.Second
)

// DialEach opens a link to each host, at most maxParallelDials at a time, and
// returns when all exchanges have ended. exchange runs in its own goroutine for
// each host. It gets the host's index in the list and either the link, which is
// closed when it returns, or the error that prevented the link. Keeping links
// to all hosts open was rejected because it would cost 1,290 heartbeats a
// second at full size.
func DialEach(ctx context.Context, options Options, all []hosts.Host, exchange func(ctx context.Context, index int, link *Link, err error)) {
	slots := make(chan struct{}, maxParallelDials)
	var exchanges sync.WaitGroup
	for index, host := range all {
		slots <- struct{}{}
		exchanges.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
			defer cancel()
			link, err := Dial(ctx, host.Address, options)
			if err == nil {
				defer link.Close()
			}
			exchange(ctx, index, link, err)
		})
	}
	exchanges.Wait()
}

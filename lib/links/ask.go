package links

import (
	"context"
	"sync"
	"time"

	"firford/lib/hosts"
)

const (
	askParallel = 32
	askTimeout  = 3 * time.Second
)

// DialEach opens a link to each host for one exchange, to at most askParallel at
// a time, and returns when all have ended. ask gets the host's index in the list
// and either the link, which is closed afterwards, or why there is none; it runs
// in a goroutine for each host. Keeping links to all hosts was rejected: it would
// cost 1,290 heartbeats a second at full size.
func DialEach(ctx context.Context, options Options, all []hosts.Host, ask func(ctx context.Context, index int, link *Link, err error)) {
	free := make(chan struct{}, askParallel)
	var asked sync.WaitGroup
	for index, host := range all {
		free <- struct{}{}
		asked.Go(func() {
			defer func() { <-free }()
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			link, err := Dial(ctx, host.Address, options)
			if err == nil {
				defer link.Close()
			}
			ask(ctx, index, link, err)
		})
	}
	asked.Wait()
}

package configurations

// This file asks every process which revision is in force there. Processes know
// only their neighbours, so the one that is asked by an operator opens a link to
// each host for one call; keeping links to all would cost 1,290 heartbeats a
// second.

import (
	"context"
	"sync"
	"time"

	"firford/lib/hosts"
	"firford/lib/links"
)

const (
	surveyParallel = 32
	surveyTimeout  = 3 * time.Second
)

// Standing is the answer of one process. Problem is empty unless it could not
// be asked.
type Standing struct {
	Host    hosts.Host
	Status  Status
	Problem string
}

// Survey asks all hosts, at most surveyParallel at a time. The answers have the
// order of the hosts.
func Survey(ctx context.Context, options links.Options, all []hosts.Host) []Standing {
	standings := make([]Standing, len(all))
	free := make(chan struct{}, surveyParallel)
	var asked sync.WaitGroup
	for i, host := range all {
		free <- struct{}{}
		asked.Go(func() {
			defer func() { <-free }()
			standings[i] = ask(ctx, options, host)
		})
	}
	asked.Wait()
	return standings
}

func ask(ctx context.Context, options links.Options, host hosts.Host) Standing {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	standing := Standing{Host: host}
	link, err := links.Dial(ctx, host.Address, options)
	if err != nil {
		standing.Problem = err.Error()
		return standing
	}
	defer link.Close()
	if err := link.Call(ctx, methodStatus, statusParams{}, &standing.Status); err != nil {
		standing.Problem = err.Error()
	}
	return standing
}

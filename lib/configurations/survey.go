package configurations

// This file asks every process which revision is in force there. Processes know
// only their neighbours, so the one that is asked by an operator opens a link to
// each host for one call.

import (
	"context"

	"firford/lib/hosts"
	"firford/lib/links"
)

// Standing is the answer of one process. Problem is empty unless it could not
// be asked.
type Standing struct {
	Host    hosts.Host
	Status  Status
	Problem string
}

// Survey asks all hosts. The answers have the order of the hosts.
func Survey(ctx context.Context, options links.Options, all []hosts.Host) []Standing {
	standings := make([]Standing, len(all))
	links.DialEach(ctx, options, all, func(ctx context.Context, index int, link *links.Link, err error) {
		standing := Standing{Host: all[index]}
		if err == nil {
			err = link.Call(ctx, methodStatus, statusParams{}, &standing.Status)
		}
		if err != nil {
			standing.Problem = err.Error()
		}
		standings[index] = standing
	})
	return standings
}

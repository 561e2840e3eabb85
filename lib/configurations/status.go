package configurations

// This file collects the configuration status of every process. Processes are
// connected only to their neighbours, so the process that serves an operator's
// query opens a link to each host for a single call.

import (
	"context"

	"firford/lib/hosts"
	"firford/lib/links"
)

// HostStatus is the configuration status of the process on one host. Problem is
// empty if the process answered, and otherwise says why its status is unknown.
type HostStatus struct {
	Host    hosts.Host
	Status  Status
	Problem string
}

// QueryStatuses asks all hosts for their status and returns the results in the
// order of the hosts.
func QueryStatuses(ctx context.Context, options links.Options, all []hosts.Host) []HostStatus {
	statuses := make([]HostStatus, len(all))
	links.DialEach(ctx, options, all, func(ctx context.Context, index int, link *links.Link, err error) {
		status := HostStatus{Host: all[index]}
		if err == nil {
			err = link.Call(ctx, methodStatus, statusParams{}, &status.Status)
		}
		if err != nil {
			status.Problem = err.Error()
		}
		statuses[index] = status
	})
	return statuses
}

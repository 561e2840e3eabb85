package gateways

// A faulty server may write an earlier answer once more on a connection that is in use
// again. This file decides whether what was read is the answer to the request that is
// under way, and whether its statement that the request did not run can be true.

import (
	"errors"
	"net/http"
	"regexp"
	"slices"
)

var (
	// errTornHead means that an earlier answer broke off in its head, and the next one was
	// read as the rest of it.
	errTornHead = errors.New("the head of an earlier answer broke off")

	statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]`)
)

// isTornHead reports whether the head contains the start of another one. Its status may
// then belong to another request than its id.
func isTornHead(response *http.Response) bool {
	if statusLine.MatchString(response.Status) {
		return true
	}
	for _, values := range response.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// isOwnAnswer reports whether an answer with the ids is the answer to the request with the
// id. An answer that names no request is, if it is the first one on its connection.
func isOwnAnswer(ids []string, id string, isFirst bool) bool {
	if !slices.ContainsFunc(ids, func(each string) bool { return each != "" }) {
		return isFirst
	}
	return !slices.ContainsFunc(ids, func(each string) bool { return each != id })
}

// mayBeRefusal reports whether a server that did not run a request may answer with the
// status. A success and the other server errors are answers of servers that ran it.
func mayBeRefusal(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError || status == http.StatusServiceUnavailable
}

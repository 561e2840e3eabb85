package timelines

// The causes of a request's end. Each is derived from the fields of the request's
// last line and from what the logs say of the engines that it was at. The reasons
// are those of the gateway, which its own tests keep in a golden file.

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	eventEnded      = "request ended"
	eventNotReached = "server not reached"
	eventTurnedAway = "server turned request away"
	eventLost       = "answer lost"
	eventFailed     = "server answered with an error"
	eventOrder      = "order sent"
	eventOrderEnded = "order ended"
	eventNoEngine   = "engine lost"
	eventEngine     = "engine started"
	eventGone       = "server gone"
	eventDraining   = "server draining"
	eventStarted    = "started"

	// changeTime is how long before a lost answer an order counts as its cause: the
	// drain before it and the time until the connection's end is seen.
	changeTime = 1500 * time.Millisecond
	// lossTime is the same for an engine that its agent lost.
	lossTime = 500 * time.Millisecond
	// refusalTime is how long before a refusal an order explains engines that are
	// away: the time for which an engine loads a version.
	refusalTime = 3 * time.Second
)

// causeOf names the cause of the request's end, given the lines of the others.
func causeOf(request, others []Line) []string {
	last := request[len(request)-1]
	causes := attempts(request, others)
	if last.Event != eventEnded {
		return append(causes, "the log ends before the request does: the process stopped, or lines are missing")
	}
	status, _ := strconv.Atoi(last.Fields["status"])
	switch reason := last.Fields["reason"]; {
	case reason != "":
		causes = append(causes, ending(reason, last, others))
	case status >= 400:
		causes = append(causes, fmt.Sprintf("the server ran the request and answered %d itself", status))
	default:
		causes = append(causes, answered(last))
	}
	return causes
}

// attempts explains each server that failed the request.
func attempts(request, others []Line) []string {
	var causes []string
	for _, line := range request {
		server := line.Fields["server"]
		switch line.Event {
		case eventNotReached:
			causes = append(causes, fmt.Sprintf("%s was not reached (%s): the request did not run there", server, line.Fields["error"]))
		case eventTurnedAway:
			causes = append(causes, turnedAway(line))
		case eventLost:
			causes = append(causes, fmt.Sprintf("the answer of %s was lost: %s", server, loss(line, others)))
		case eventFailed:
			causes = append(causes, fmt.Sprintf("%s ran the request and answered %s", server, line.Fields["server_status"]))
		}
	}
	return causes
}

func turnedAway(line Line) string {
	if line.Fields["misdirected"] == "true" {
		return fmt.Sprintf("%s is not at %s any more: another server has the address, the request did not run", line.Fields["server"], line.Fields["address"])
	}
	return fmt.Sprintf("%s stated that it did not run the request: it was full or leaving", line.Fields["server"])
}

// loss explains a lost answer by what happened to the engine, or by the error.
func loss(line Line, others []Line) string {
	if order, found := latest(others, line, changeTime, eventOrder); found {
		return fmt.Sprintf("its agent ordered version %s %s before", order.Fields["version"], round(line.Time.Sub(order.Time)))
	}
	if lost, found := latest(others, line, lossTime, eventNoEngine, eventEngine); found {
		return fmt.Sprintf("the engine ended or restarted (%s: %s)", lost.Process, lost.Event)
	}
	if gone, found := latestOf(others, line.Fields["server"], line, refusalTime, eventGone, eventDraining); found {
		return fmt.Sprintf("the platform listed the server as leaving or gone %s before", round(line.Time.Sub(gone.Time)))
	}
	text := line.Fields["error"]
	switch {
	case strings.Contains(text, "use of closed"):
		return "the gateway ended it: the time of the request was over, or its caller had left"
	case strings.Contains(text, "without signature"):
		return "a success without signature can't be trusted"
	case strings.Contains(text, "without the statement"):
		return "a refusal that does not state that the request has not run"
	case strings.Contains(text, "timeout"), strings.Contains(text, "deadline"):
		return "the server was silent for too long (" + text + ")"
	case strings.Contains(text, "EOF"), strings.Contains(text, "reset"), strings.Contains(text, "closed"), strings.Contains(text, "broken pipe"):
		return "the connection ended in the middle, by the server or the network (" + text + ")"
	default:
		return text
	}
}

// latest returns the last line with one of the events that concerns the engine at
// the address of the request's line, within the span before it.
func latest(others []Line, of Line, span time.Duration, events ...string) (Line, bool) {
	address := of.Fields["address"]
	return last(others, of.Time, span, func(line Line) bool {
		return address != "" && line.Fields["engine"] == address && slices.Contains(events, line.Event)
	})
}

// latestOf is latest for events of the request's own entry that name a server.
func latestOf(others []Line, server string, of Line, span time.Duration, events ...string) (Line, bool) {
	return last(others, of.Time, span, func(line Line) bool {
		return line.Process == of.Process && line.Fields["server"] == server && slices.Contains(events, line.Event)
	})
}

func last(lines []Line, until time.Time, span time.Duration, match func(Line) bool) (Line, bool) {
	var found Line
	for _, line := range lines {
		if line.Time.After(until.Add(span/4)) || line.Time.Before(until.Add(-span)) || !match(line) {
			continue
		}
		if line.Time.After(found.Time) {
			found = line
		}
	}
	return found, !found.Time.IsZero()
}

// endings explains each reason for which a gateway ends a request itself.
var endings = map[string]string{
	"no configuration yet":            "the entry had read no configuration yet",
	"too many wait":                   "refused on arrival: its turn would have come too late",
	"no place in time":                "refused after waiting: no server had room in time",
	"no place before the deadline":    "refused at its deadline: no server had room",
	"turned away":                     "refused: the servers that it was sent to did not run it, and no more may be tried",
	"no server reached":               "refused: no connection to a server came about",
	"no route for this host and path": "rejected: the configuration in force has no such route",
	"unknown key":                     "rejected: the configuration in force does not hold the key",
	"body too large":                  "rejected: the body is over the configuration's limit",
	"answer lost":                     "failed: it may have run, so it is not sent again, or all allowed attempts are used",
	"no server left":                  "failed: it may have run, and no other server could take it",
	"request not read":                "the caller broke off or was too slow while it sent the request",
	"caller left":                     "the caller closed its connection",
}

func ending(reason string, line Line, others []Line) string {
	text, known := endings[reason]
	if !known {
		return "unknown reason: " + reason
	}
	switch reason {
	case "too many wait", "no place in time", "no server left":
		if line.Fields["ahead"] != "" {
			text += "; " + outlook(line, others)
		}
	case "no configuration yet":
		if started, found := last(others, line.Time, time.Minute, func(other Line) bool {
			return other.Process == line.Process && other.Event == eventStarted
		}); found {
			text += fmt.Sprintf("; it started %s before", round(line.Time.Sub(started.Time)))
		}
	case "caller left":
		text += " after " + line.Fields["after"] + " s" + waitingFor(line)
	}
	return text
}

func waitingFor(line Line) string {
	switch {
	case line.Fields["streaming"] == "true":
		return ", in the middle of its stream"
	case line.Fields["placed_after"] == "":
		return ", while it waited for a place"
	default:
		return ", while the server had not answered"
	}
}

// outlook explains why no server had room.
func outlook(line Line, others []Line) string {
	var parts []string
	for _, each := range []struct{ field, text string }{
		{"full", "full"},
		{"slow", "with too much to read before it"},
		{"closed", "closed, leaving or changing version"},
		{"outdated", "on a version that is due"},
		{"tried", "already tried"},
		{"usable", "free again"},
	} {
		if count := line.Fields[each.field]; count != "" && count != "0" {
			parts = append(parts, count+" "+each.text)
		}
	}
	text := "servers: " + strings.Join(parts, ", ")
	if len(parts) == 0 {
		text = "no server of the service is listed"
	}
	changing := map[string]bool{}
	for _, other := range others {
		if other.Event == eventOrder && !other.Time.After(line.Time) && line.Time.Sub(other.Time) < refusalTime {
			changing[other.Fields["engine"]] = true
		}
	}
	if len(changing) > 0 {
		text += fmt.Sprintf("; %d engines were ordered to change their version in the %s before", len(changing), refusalTime)
	}
	return text + "; " + line.Fields["ahead"] + " requests waited before it"
}

// answered tells where the time of an answered request went.
func answered(line Line) string {
	placed, first, total := seconds(line, "placed_after"), seconds(line, "answered_after"), seconds(line, "after")
	whose := "a server"
	if strings.Contains(line.Fields["servers"], ",") {
		whose = "its last server"
	}
	text := fmt.Sprintf("answered: %s until it had %s, %s until that began to answer, %s for the rest",
		round(placed), whose, round(first-placed), round(total-first))
	if predicted := seconds(line, "predicted"); predicted > 0 {
		text += fmt.Sprintf("; the beginning was predicted after %s", round(predicted))
	}
	return text
}

func seconds(line Line, field string) time.Duration {
	number, err := strconv.ParseFloat(line.Fields[field], 64)
	if err != nil {
		return 0
	}
	return time.Duration(number * float64(time.Second))
}

func round(span time.Duration) time.Duration { return span.Round(time.Millisecond) }

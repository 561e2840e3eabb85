package timelines

// This file derives the causes of a request's outcome from the fields of its log
// lines and from the logged events of the engines that it was sent to. The event
// names, field names and reasons must match those that entries and agents log. The
// gateway's reasons are checked against a golden file of the gateway's own tests.

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	eventRequestEnded   = "request ended"
	eventNotReached     = "server not reached"
	eventTurnedAway     = "server turned request away"
	eventAnswerLost     = "answer lost"
	eventServerError    = "server answered with an error"
	eventTakenOver      = "another server took over"
	eventOrderSent      = "order sent"
	eventOrderEnded     = "order ended"
	eventEngineLost     = "engine lost"
	eventEngineStarted  = "engine started"
	eventServerGone     = "server gone"
	eventServerDraining = "server draining"
	eventLeaving        = "server leaving"
	eventNotBefore      = "server not before"
	eventNotSent        = "request not sent"
	eventProcessStarted = "started"

	// orderWindow is how long before a lost answer an order can be its cause. It
	// covers the drain that precedes the loss, and the time until the end of the
	// connection is noticed.
	orderWindow = 1500 * time.Millisecond
	// engineLossWindow is how long before a lost answer the loss or start of its
	// engine can be its cause.
	engineLossWindow = 500 * time.Millisecond
	// statementWindow is how long before a request was turned away or withdrawn its server
	// can have stated why. It covers the time to open a connection.
	statementWindow = time.Second
	// refusalWindow is how long before a refusal an order can be the reason that its
	// engine was not available. It is the time that an engine takes to load a
	// version.
	refusalWindow = 3 * time.Second
)

// requestCauses returns the causes of the request's outcome: those of the failed
// attempts first, then that of the end. others holds the lines that belong to no
// request.
func requestCauses(request, others []Line) []string {
	last := request[len(request)-1]
	causes := append(listCauses(last), attemptCauses(request, others)...)
	if last.Event != eventRequestEnded {
		return append(causes, "the log ends before the request does: the process stopped, or lines are missing")
	}
	status, _ := strconv.Atoi(last.Fields["status"])
	switch reason := last.Fields["reason"]; {
	case reason != "":
		causes = append(causes, explainReason(reason, last, others))
	case status >= 400:
		causes = append(causes, fmt.Sprintf("the server ran the request and answered %d itself", status))
	default:
		causes = append(causes, explainAnswer(last))
	}
	return causes
}

// listCauses tells what was wrong with the list of servers from which the request's
// servers were chosen.
func listCauses(line Line) []string {
	var causes []string
	if line.Fields["unlisted"] == "true" {
		causes = append(causes, "a server that it was sent to was missing from the platform's list: it was kept after an outage of the store")
	}
	if age := seconds(line, "list_age"); age > 0 {
		causes = append(causes, fmt.Sprintf("the list of servers was last confirmed %s before", roundToMS(age)))
	}
	return causes
}

// attemptCauses explains each failed attempt to run the request on a server.
func attemptCauses(request, others []Line) []string {
	var causes []string
	for _, line := range request {
		server := line.Fields["server"]
		switch line.Event {
		case eventNotReached:
			causes = append(causes, fmt.Sprintf("%s was not reached (%s): the request did not run there", server, line.Fields["error"]))
		case eventTurnedAway:
			causes = append(causes, explainRefusal(line, others))
		case eventNotSent:
			causes = append(causes, fmt.Sprintf("nothing was sent to %s: %s", server, explainStatement(line, others)))
		case eventAnswerLost:
			causes = append(causes, fmt.Sprintf("the answer of %s was lost: %s", server, explainLostAnswer(line, others)))
		case eventServerError:
			causes = append(causes, fmt.Sprintf("%s ran the request and answered %s", server, line.Fields["server_status"]))
		case eventTakenOver:
			causes = append(causes, explainTakeover(line))
		}
	}
	return causes
}

func explainRefusal(line Line, others []Line) string {
	if line.Fields["misdirected"] == "true" {
		return fmt.Sprintf("%s is not at %s any more: another server has the address, the request did not run", line.Fields["server"], line.Fields["address"])
	}
	return fmt.Sprintf("%s stated that it did not run the request: %s", line.Fields["server"], explainStatement(line, others))
}

// explainStatement returns why a server wants no requests, by what it stated to the
// request's entry.
func explainStatement(line Line, others []Line) string {
	stated, found := latestServerEvent(others, line.Fields["server"], line, statementWindow, eventLeaving, eventNotBefore)
	switch {
	case !found:
		return "it was full or leaving"
	case stated.Event == eventLeaving:
		return fmt.Sprintf("it leaves, as it had stated to %s", stated.Fields["heard_by"])
	default:
		return fmt.Sprintf("it wanted no requests for %s, as it had stated to %s", roundToMS(seconds(stated, "for")), stated.Fields["heard_by"])
	}
}

// explainTakeover explains why the answer of a server was not waited for any longer.
func explainTakeover(line Line) string {
	if line.Fields["silent"] == "true" {
		return fmt.Sprintf("%s was silent for %s, and another server took over", line.Fields["server"], line.Fields["silent_for"])
	}
	return fmt.Sprintf("%s was not needed: the silent server before it went on", line.Fields["server"])
}

// explainLostAnswer explains a lost answer by an event of the engine shortly before,
// or else by the error.
func explainLostAnswer(line Line, others []Line) string {
	if order, found := latestEngineEvent(others, line, orderWindow, eventOrderSent); found {
		return fmt.Sprintf("its agent ordered version %s %s before", order.Fields["version"], roundToMS(line.Time.Sub(order.Time)))
	}
	if lost, found := latestEngineEvent(others, line, engineLossWindow, eventEngineLost, eventEngineStarted); found {
		return fmt.Sprintf("the engine ended or restarted (%s: %s)", lost.Process, lost.Event)
	}
	if stated, found := latestServerEvent(others, line.Fields["server"], line, refusalWindow, eventLeaving); found {
		return fmt.Sprintf("the server had stated %s before that it leaves", roundToMS(line.Time.Sub(stated.Time)))
	}
	if gone, found := latestServerEvent(others, line.Fields["server"], line, refusalWindow, eventServerGone, eventServerDraining); found {
		return fmt.Sprintf("the platform listed the server as leaving or gone %s before", roundToMS(line.Time.Sub(gone.Time)))
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

// latestEngineEvent returns the latest of the events that concern the engine at the
// address of the request's line, within the window before that line.
func latestEngineEvent(others []Line, requestLine Line, window time.Duration, events ...string) (Line, bool) {
	address := requestLine.Fields["address"]
	return latestLine(others, requestLine.Time, window, func(line Line) bool {
		return address != "" && line.Fields["engine"] == address && slices.Contains(events, line.Event)
	})
}

// latestServerEvent returns the latest of the events about the server that the
// request's own entry logged, within the window before the request's line.
func latestServerEvent(others []Line, server string, requestLine Line, window time.Duration, events ...string) (Line, bool) {
	return latestLine(others, requestLine.Time, window, func(line Line) bool {
		return line.Process == requestLine.Process && line.Fields["server"] == server && slices.Contains(events, line.Event)
	})
}

// latestLine returns the latest matching line in the window before the end. Lines up
// to a quarter of the window after the end count too.
func latestLine(lines []Line, end time.Time, window time.Duration, match func(Line) bool) (Line, bool) {
	var found Line
	for _, line := range lines {
		if line.Time.After(end.Add(window/4)) || line.Time.Before(end.Add(-window)) || !match(line) {
			continue
		}
		if line.Time.After(found.Time) {
			found = line
		}
	}
	return found, !found.Time.IsZero()
}

// reasonTexts explains each reason for which the gateway itself ends a request.
var reasonTexts = map[string]string{
	"entry stops":                        "refused: the entry was about to end, and another one can take the request",
	"no configuration yet":               "the entry had read no configuration yet",
	"too many wait":                      "refused on arrival: its turn would have come too late",
	"no place in time":                   "refused after waiting: no server had room in time",
	"no server in an allowed region":     "refused at once: no server of the service is in a home region of the request",
	"all servers evacuated":              "refused at once: all servers that it may be sent to are in evacuated data centres",
	"no place before the deadline":       "refused at its deadline: no server had room",
	"turned away":                        "refused: the servers that it was sent to did not run it, and no more may be tried",
	"no server reached":                  "refused: no connection to a server came about",
	"entry out of descriptors or memory": "refused at once: the entry could open no connection to a server for want of descriptors or memory",
	"callers hold too much":              "refused: callers made the entry hold all the memory that it has for them, and this one held much or did not go on",
	"prompt part quarantined":            "refused: servers crashed under requests with a part of its prompt",
	"request quarantined":                "refused: servers crashed while they ran the same request",
	"no route for this host and path":    "rejected: the configuration in force has no such route",
	"unknown key":                        "rejected: the configuration in force does not hold the key",
	"body too large":                     "rejected: the body is over the configuration's limit",
	"answer lost":                        "failed: it may have run, so it is not sent again, or all allowed attempts are used",
	"no server left":                     "failed: it may have run, and no other server could take it",
	"entry stopped":                      "failed: it may have run, and the entry that held it ended",
	"request not read":                   "the caller broke off or was too slow while it sent the request",
	"caller left":                        "the caller closed its connection",
}

// explainReason explains a reason, with details from the logs where they help.
func explainReason(reason string, line Line, others []Line) string {
	text, known := reasonTexts[reason]
	if !known {
		return "unknown reason: " + reason
	}
	switch reason {
	case "too many wait", "no place in time", "no server left", "no server in an allowed region", "all servers evacuated":
		if line.Fields["ahead"] != "" {
			text += "; " + explainNoServer(line, others)
		}
	case "no configuration yet":
		if started, found := latestLine(others, line.Time, time.Minute, func(other Line) bool {
			return other.Process == line.Process && other.Event == eventProcessStarted
		}); found {
			text += fmt.Sprintf("; it started %s before", roundToMS(line.Time.Sub(started.Time)))
		}
	case "caller left":
		text += " after " + line.Fields["after"] + " s" + requestProgress(line)
	}
	return text
}

// requestProgress returns how far the request had got when the caller left.
func requestProgress(line Line) string {
	switch {
	case line.Fields["streaming"] == "true":
		return ", in the middle of its stream"
	case line.Fields["placed_after"] == "":
		return ", while it waited for a place"
	default:
		return ", while the server had not answered"
	}
}

// explainNoServer lists why no server could take the request.
func explainNoServer(line Line, others []Line) string {
	var parts []string
	for _, counter := range []struct{ field, text string }{
		{"full", "full"},
		{"limited", "at the limit that they stated"},
		{"slow", "with too much to read before it"},
		{"closed", "closed or changing version"},
		{"leaving", "leaving"},
		{"deferred", "that had asked for no requests for a time"},
		{"outdated", "on a version that is due"},
		{"forbidden", "not in an allowed region"},
		{"evacuated", "in an evacuated data centre"},
		{"cold", "warming up after a start"},
		{"outranked", "with room only for requests with a stricter target"},
		{"tried", "already tried"},
		{"usable", "free again"},
	} {
		if count := line.Fields[counter.field]; count != "" && count != "0" {
			parts = append(parts, count+" "+counter.text)
		}
	}
	text := "servers: " + strings.Join(parts, ", ")
	if len(parts) == 0 {
		text = "no server of the service is listed"
	}
	changing := map[string]bool{}
	for _, other := range others {
		if other.Event == eventOrderSent && !other.Time.After(line.Time) && line.Time.Sub(other.Time) < refusalWindow {
			changing[other.Fields["engine"]] = true
		}
	}
	if len(changing) > 0 {
		text += fmt.Sprintf("; %d engines were ordered to change their version in the %s before", len(changing), refusalWindow)
	}
	return text + "; " + line.Fields["ahead"] + " requests waited before it"
}

// explainAnswer splits the duration of an answered request into its phases.
func explainAnswer(line Line) string {
	placed, first, total := seconds(line, "placed_after"), seconds(line, "answered_after"), seconds(line, "after")
	serverText := "a server"
	if strings.Contains(line.Fields["servers"], ",") {
		serverText = "its last server"
	}
	text := fmt.Sprintf("answered: %s until it had %s, %s until that began to answer, %s for the rest",
		roundToMS(placed), serverText, roundToMS(first-placed), roundToMS(total-first))
	if predicted := seconds(line, "predicted"); predicted > 0 {
		text += fmt.Sprintf("; the beginning was predicted after %s", roundToMS(predicted))
	}
	return text
}

// seconds returns the duration in a field that holds seconds, or zero if the field
// can't be parsed.
func seconds(line Line, field string) time.Duration {
	number, err := strconv.ParseFloat(line.Fields[field], 64)
	if err != nil {
		return 0
	}
	return time.Duration(number * float64(time.Second))
}

func roundToMS(span time.Duration) time.Duration { return span.Round(time.Millisecond) }

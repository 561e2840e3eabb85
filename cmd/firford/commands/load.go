package commands

import (
	"context"
	"fmt"

	"firford/lib/timelines"
)

type loadCommand struct {
	Logs []string `arg:"positional,required" help:"logs of entries; - for standard input"`
}

func (*loadCommand) example() string {
	return "firford load logs/*.log\n      prints the requests by second, route, organisation and data centre"
}

func (command *loadCommand) run(_ context.Context, session *session) error {
	log := timelines.NewLoadLog()
	for _, name := range command.Logs {
		if err := addLog(log, name); err != nil {
			return &exitError{code: ExitInvalid, message: err.Error()}
		}
	}
	report := log.Report()
	if err := session.printReport(report, report.UnreadableLines); err != nil {
		return err
	}
	if report.Total.Arrivals == 0 {
		return &exitError{code: ExitInvalid, message: fmt.Sprintf("no line of an ended request among %d lines", report.LinesRead)}
	}
	return nil
}

package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"firford/lib/timelines"
)

// standardInput is the argument that stands for a log on standard input.
const standardInput = "-"

type explainCommand struct {
	RequestID string   `arg:"positional,required" help:"the request's id, as its entry logged it"`
	Logs      []string `arg:"positional,required" help:"logs of entries and agents; - for standard input"`
}

func (*explainCommand) example() string {
	return "firford explain 9c41d07be2a35f68 logs/*.log\n      prints what happened to the request, and why it ended as it did"
}

func (command *explainCommand) run(_ context.Context, session *session) error {
	log := timelines.NewRequestLog(command.RequestID)
	for _, name := range command.Logs {
		if err := addLog(log, name); err != nil {
			return &exitError{code: ExitInvalid, message: err.Error()}
		}
	}
	explanation, found := log.Explain()
	if session.arguments.JSON {
		encoded, err := json.MarshalIndent(explanation, "", "  ")
		if err != nil {
			return fmt.Errorf("encode the explanation: %w", err)
		}
		_, _ = fmt.Fprintf(session.out, "%s\n", encoded)
	} else {
		explanation.Print(session.out)
	}
	for _, line := range explanation.UnreadableLines {
		_, _ = fmt.Fprintf(session.errOut, "%s: not read: %s\n", line.Location, line.Problem)
	}
	if !found {
		return &exitError{code: ExitInvalid, message: fmt.Sprintf("no log line of request %s among %d lines", command.RequestID, explanation.LinesRead)}
	}
	return nil
}

// addLog adds the lines of the named file or of standard input to the log.
func addLog(log *timelines.RequestLog, name string) error {
	if name == standardInput {
		return log.AddLog(os.Stdin, "standard input")
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return log.AddLog(file, name)
}

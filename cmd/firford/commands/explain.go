package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"firford/lib/timelines"
)

// standardInput is the argument that stands for a log on standard input.
const standardInput = "-"

type (
	explainCommand struct {
		RequestID string   `arg:"positional,required" help:"the request's id, as its entry logged it"`
		Logs      []string `arg:"positional,required" help:"logs of entries and agents; - for standard input"`
	}

	// logReader reads logs of processes.
	logReader interface {
		AddLog(reader io.Reader, name string) error
	}

	// logReport is what a command tells from logs.
	logReport interface {
		Print(out io.Writer)
	}
)

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
	if err := session.printReport(explanation, explanation.UnreadableLines); err != nil {
		return err
	}
	if !found {
		return &exitError{code: ExitInvalid, message: fmt.Sprintf("no log line of request %s among %d lines", command.RequestID, explanation.LinesRead)}
	}
	return nil
}

// printReport prints a report as JSON or text, and the unreadable lines as errors.
func (session *session) printReport(report logReport, unreadable []timelines.UnreadableLine) error {
	if session.arguments.JSON {
		encoded, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return fmt.Errorf("encode the report: %w", err)
		}
		_, _ = fmt.Fprintf(session.out, "%s\n", encoded)
	} else {
		report.Print(session.out)
	}
	for _, line := range unreadable {
		_, _ = fmt.Fprintf(session.errOut, "%s: not read: %s\n", line.Location, line.Problem)
	}
	return nil
}

// addLog adds the lines of the named file or of standard input to the log.
func addLog(log logReader, name string) error {
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

// Package commands implements the operators' command line.
//
// Every command prints a table for people or, with --json, one JSON document
// for programs, and ends with an exit code that tells whether a repeat can
// help. An interactive shell was rejected because operators call the program
// from scripts.
package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/alexflint/go-arg"
)

// Exit codes.
const (
	// ExitDone means that the command did what it was asked.
	ExitDone = 0
	// ExitFailed means a failure that no other code describes.
	ExitFailed = 1
	// ExitInvalid means wrong arguments, or an object or file with findings.
	ExitInvalid = 2
	// ExitRefused means that the call was refused and changed nothing; the same
	// call would be refused again.
	ExitRefused = 3
	// ExitUnavailable means that nothing was changed and that a repeat may help.
	ExitUnavailable = 4
	// ExitUnknown means that the change may have been accepted; repeat the command
	// with the same --request-id.
	ExitUnknown = 5
	// ExitIncomplete means that a revision is not in force everywhere, or that a
	// rollout ended without reaching its version.
	ExitIncomplete = 6
)

const exitCodes = `Exit codes:
  0  done
  1  failed for another reason
  2  wrong arguments, or findings in an object or a settings file
  3  refused, nothing was changed; the same call would be refused again
  4  unavailable, nothing was changed; try again later
  5  outcome unknown; repeat the command with the same --request-id
  6  not in force everywhere, or the rollout did not reach its version`

type (
	arguments struct {
		Entry         string `arg:"--entry,env:FIRFORD_ENTRY" default:"127.0.0.1:9001" help:"address of any entry's operators listener"`
		TokenFile     string `arg:"--token-file,env:FIRFORD_TOKEN_FILE" default:"operator.token" help:"file with your bearer token"`
		AuthorityFile string `arg:"--authority-file,env:FIRFORD_AUTHORITY_FILE" help:"PEM file of the authority of the entries' certificates (default: no TLS)"`
		TimeoutS      int    `arg:"--timeout-s" default:"25" help:"seconds until a call ends; watch has no limit"`
		JSON          bool   `arg:"--json" help:"print JSON for programs"`

		Create  *createCommand  `arg:"subcommand:create" help:"create an object from a JSON file"`
		Get     *getCommand     `arg:"subcommand:get" help:"print an object and its revision"`
		List    *listCommand    `arg:"subcommand:list" help:"list the objects of a kind"`
		Update  *updateCommand  `arg:"subcommand:update" help:"replace an object from a JSON file"`
		Delete  *deleteCommand  `arg:"subcommand:delete" help:"delete an object"`
		Publish *versionCommand `arg:"subcommand:version" help:"publish versions"`
		Rollout *rolloutCommand `arg:"subcommand:rollout" help:"start, watch, pause, resume or undo a rollout"`
		Engines *enginesCommand `arg:"subcommand:engines" help:"list which version each engine serves"`
		Status  *statusCommand  `arg:"subcommand:status" help:"show where a revision is in force"`
		Burn    *burnCommand    `arg:"subcommand:burn" help:"show how fast error budgets are used up"`
		Explain *explainCommand `arg:"subcommand:explain" help:"explain a request from the logs of entries and agents"`
		Check   *checkCommand   `arg:"subcommand:check" help:"check a settings file of an entry or agent"`
	}

	// command is one subcommand.
	command interface {
		run(ctx context.Context, session *session) error
		// example returns a command line and what it does.
		example() string
	}

	// session is what a command works with.
	session struct {
		arguments arguments
		out       io.Writer
		errors    io.Writer
	}

	// codedError ends the program with a code after its message.
	codedError struct {
		code    int
		message string
	}
)

func (coded *codedError) Error() string { return coded.message }

// Version is printed by --version.
func (arguments) Version() string {
	version := "unknown"
	if info, known := debug.ReadBuildInfo(); known {
		version = info.Main.Version
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				version += " " + setting.Value
			}
		}
	}
	return "firford " + version
}

// Description is printed above the help text.
func (arguments) Description() string {
	return "Configures firford, rolls out versions and shows their state. Any entry answers."
}

// Run parses the arguments, runs the command and returns the exit code.
func Run(ctx context.Context, args []string, out, problems io.Writer) int {
	var given arguments
	parser, err := arg.NewParser(arg.Config{Program: "firford", IgnoreDefault: false}, &given)
	if err != nil {
		_, _ = fmt.Fprintln(problems, "firford:", err)
		return ExitFailed
	}
	err = parser.Parse(args)
	chosen, named := parser.Subcommand().(command)
	switch {
	case errors.Is(err, arg.ErrHelp):
		help(parser, chosen, out)
		return ExitDone
	case errors.Is(err, arg.ErrVersion):
		_, _ = fmt.Fprintln(out, given.Version())
		return ExitDone
	case err == nil && !named:
		err = errors.New("name a command, or a command of the group")
	}
	if err != nil {
		_ = parser.WriteUsageForSubcommand(problems, parser.SubcommandNames()...)
		_, _ = fmt.Fprintln(problems, "firford:", err)
		return ExitInvalid
	}
	session := &session{arguments: given, out: out, errors: problems}
	return session.end(chosen.run(ctx, session))
}

func help(parser *arg.Parser, chosen command, out io.Writer) {
	_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
	example := "firford list deployment\n      lists all deployments"
	if chosen != nil {
		example = chosen.example()
	}
	_, _ = fmt.Fprintf(out, "\nExample:\n  %s\n\n%s\n", example, exitCodes)
}

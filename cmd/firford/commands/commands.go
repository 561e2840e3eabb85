// Package commands implements the command line for operators.
//
// Every command prints text for people or, with --json, one JSON document for
// programs. Its exit code tells whether it is worth repeating the command. There
// is no interactive shell, because operators call the program from scripts.
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
	// ExitDone means that the command succeeded.
	ExitDone = 0
	// ExitFailed means a failure that no other code describes.
	ExitFailed = 1
	// ExitInvalid means that the arguments are wrong, or that an object or a settings
	// file has findings.
	ExitInvalid = 2
	// ExitRefused means that the call was refused and changed nothing. The same call
	// would be refused again.
	ExitRefused = 3
	// ExitUnavailable means that nothing was changed and that the same call may
	// succeed later.
	ExitUnavailable = 4
	// ExitUnknown means that the change may have been accepted. To find out, repeat
	// the command with the same --request-id.
	ExitUnknown = 5
	// ExitIncomplete means that a revision is not in force on every process, or that
	// a rollout ended without reaching its version.
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
		Load    *loadCommand    `arg:"subcommand:load" help:"show the load by second from the logs of entries"`
		Check   *checkCommand   `arg:"subcommand:check" help:"check a settings file of an entry or agent"`
	}

	// command is a subcommand of the program.
	command interface {
		run(ctx context.Context, session *session) error
		// example returns a sample command line and an indented line that explains it.
		example() string
	}

	// session holds the arguments and the output streams of one run of the program.
	session struct {
		arguments arguments
		out       io.Writer
		errOut    io.Writer
	}

	// exitError makes the program print the message and end with the exit code.
	exitError struct {
		code    int
		message string
	}
)

func (err *exitError) Error() string { return err.message }

// Version returns the text that --version prints.
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

// Description returns the text that --help prints above the usage.
func (arguments) Description() string {
	return "Configures firford, rolls out versions and shows their state. Any entry answers."
}

// Run parses args, runs the command and returns the exit code. Errors are
// written to errOut; with --json, the error of a command is written to out.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "firford", IgnoreDefault: false}, &parsed)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "firford:", err)
		return ExitFailed
	}
	err = parser.Parse(args)
	selected, isCommand := parser.Subcommand().(command)
	switch {
	case errors.Is(err, arg.ErrHelp):
		printHelp(parser, selected, out)
		return ExitDone
	case errors.Is(err, arg.ErrVersion):
		_, _ = fmt.Fprintln(out, parsed.Version())
		return ExitDone
	case err == nil && !isCommand:
		err = errors.New("no command given; --help lists the commands")
	}
	if err != nil {
		_ = parser.WriteUsageForSubcommand(errOut, parser.SubcommandNames()...)
		_, _ = fmt.Fprintln(errOut, "firford:", err)
		return ExitInvalid
	}
	session := &session{arguments: parsed, out: out, errOut: errOut}
	return session.finish(selected.run(ctx, session))
}

func printHelp(parser *arg.Parser, selected command, out io.Writer) {
	_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
	example := "firford list deployment\n      lists all deployments"
	if selected != nil {
		example = selected.example()
	}
	_, _ = fmt.Fprintf(out, "\nExample:\n  %s\n\n%s\n", example, exitCodes)
}

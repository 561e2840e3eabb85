package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"firford/lib/burns"
	"firford/lib/operators/wire"
	"firford/lib/processes"
)

type (
	enginesCommand struct {
		Deployment string `arg:"--deployment" help:"list only this deployment (default: all)"`
	}

	statusCommand struct {
		Revision int64 `arg:"--revision" help:"revision to ask for (default: the newest)"`
	}

	burnCommand struct {
		Deployment string `arg:"--deployment" help:"report only this deployment (default: all)"`
		Plot       string `arg:"--plot" help:"also draw the budgets into this file, .svg, .png or .pdf by its name"`
	}

	checkCommand struct {
		File string `arg:"positional,required" help:"settings file of an entry or an agent"`
	}

	engineView struct {
		Host       string `json:"host"`
		DataCentre string `json:"data_centre"`
		Deployment string `json:"deployment"`
		Version    string `json:"version"`
		State      string `json:"state"`
		Running    int32  `json:"running"`
		Queued     int32  `json:"queued"`
		Slots      int32  `json:"slots"`
		AgeMS      int64  `json:"age_ms"`
	}

	statusView struct {
		Revision   int64         `json:"revision"`
		Everywhere bool          `json:"everywhere"`
		Processes  int32         `json:"processes"`
		Behind     []processView `json:"behind"`
	}

	processView struct {
		Name       string `json:"name"`
		Role       string `json:"role"`
		DataCentre string `json:"data_centre"`
		Revision   int64  `json:"revision"`
		Problem    string `json:"problem,omitempty"`
	}

	checkView struct {
		File string `json:"file"`
		Role string `json:"role"`
	}
)

func (*enginesCommand) example() string {
	return "firford engines --deployment plant\n      lists the version and state of each engine of plant"
}

func (*statusCommand) example() string {
	return "firford status --revision 42\n      lists the processes where revision 42 is not in force yet"
}

func (*burnCommand) example() string {
	return "firford burn --deployment plant\n      shows how fast the error budgets of plant are used up"
}

func (*checkCommand) example() string {
	return "firford check entry-01.ini\n      prints every mistake in the file"
}

func (command *enginesCommand) run(ctx context.Context, session *session) error {
	return session.callEntry(ctx, func(ctx context.Context, client wire.OperatorsClient) error {
		list, err := client.ListEngines(ctx, &wire.ListEnginesRequest{Deployment: command.Deployment})
		if err != nil {
			return err
		}
		views, rows := []engineView{}, []string{}
		for _, engine := range list.GetEngines() {
			views = append(views, engineView{
				Host: engine.GetHost(), DataCentre: engine.GetDataCentre(), Deployment: engine.GetDeployment(),
				Version: engine.GetVersion(), State: engine.GetState(), Running: engine.GetRunning(),
				Queued: engine.GetQueued(), Slots: engine.GetSlots(), AgeMS: engine.GetAgeMs(),
			})
			rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%d/%d\t%d\t%s", engine.GetHost(), engine.GetDataCentre(),
				engine.GetDeployment(), engine.GetVersion(), engine.GetState(), engine.GetRunning(), engine.GetSlots(),
				engine.GetQueued(), formatAge(engine.GetAgeMs())))
		}
		return session.print(views, formatTable("HOST\tDATA CENTRE\tDEPLOYMENT\tVERSION\tSTATE\tRUNNING\tQUEUED\tAGE", rows))
	})
}

// formatAge formats the age of an engine's state; it is negative if the state is
// unknown.
func formatAge(ageMS int64) string {
	if ageMS < 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f s", float64(ageMS)/1000)
}

func (command *statusCommand) run(ctx context.Context, session *session) error {
	return session.callEntry(ctx, func(ctx context.Context, client wire.OperatorsClient) error {
		answer, err := client.GetRevisionStatus(ctx, &wire.RevisionStatusRequest{Revision: command.Revision})
		if err != nil {
			return err
		}
		view := statusView{
			Revision: answer.GetRevision(), Everywhere: answer.GetEverywhere(), Processes: answer.GetProcesses(), Behind: []processView{},
		}
		for _, process := range answer.GetBehind() {
			view.Behind = append(view.Behind, processView{
				Name: process.GetName(), Role: process.GetRole(), DataCentre: process.GetDataCentre(),
				Revision: process.GetRevision(), Problem: process.GetProblem(),
			})
		}
		if err := session.print(view, view.text()); err != nil || view.Everywhere {
			return err
		}
		return &exitError{ExitIncomplete, fmt.Sprintf("revision %d is not in force everywhere", view.Revision)}
	})
}

func (view statusView) text() string {
	if view.Everywhere {
		return fmt.Sprintf("revision %d is in force at all %d processes\n", view.Revision, view.Processes)
	}
	rows := make([]string, 0, len(view.Behind))
	for _, process := range view.Behind {
		state := fmt.Sprintf("revision %d", process.Revision)
		if process.Problem != "" {
			state = "not reached: " + process.Problem
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s", process.Name, process.Role, process.DataCentre, state))
	}
	return fmt.Sprintf("revision %d is in force at %d of %d processes, not at:\n", view.Revision,
		int(view.Processes)-len(view.Behind), view.Processes) + formatTable("PROCESS\tROLE\tDATA CENTRE\tSTATE", rows)
}

func (command *burnCommand) run(ctx context.Context, session *session) error {
	return session.callEntry(ctx, func(ctx context.Context, client wire.OperatorsClient) error {
		answer, err := client.GetBurnReport(ctx, &wire.BurnReportRequest{Deployment: command.Deployment})
		if err != nil {
			return err
		}
		var report burns.Report
		if err := json.Unmarshal(answer.GetJson(), &report); err != nil {
			return fmt.Errorf("decode the burn report: %w", err)
		}
		if err := command.writePlot(report); err != nil {
			return err
		}
		return session.print(report, report.Text())
	})
}

// writePlot writes the plot if --plot names a file for it. The file's extension
// selects the format.
func (command *burnCommand) writePlot(report burns.Report) error {
	if command.Plot == "" {
		return nil
	}
	var image bytes.Buffer
	if err := report.Plot(&image, strings.TrimPrefix(filepath.Ext(command.Plot), ".")); err != nil {
		return err
	}
	if err := os.WriteFile(command.Plot, image.Bytes(), 0o644); err != nil {
		return fmt.Errorf("write the plot: %w", err)
	}
	return nil
}

func (command *checkCommand) run(_ context.Context, session *session) error {
	role, err := processes.Check(command.File)
	if err != nil {
		return err
	}
	return session.print(checkView{File: command.File, Role: role}, fmt.Sprintf("%s: correct settings of an %s\n", command.File, role))
}

package fleet

import (
	"context"
	"path/filepath"
	"strings"
)

// Command writes the files of a fleet.
type Command struct {
	Directory       string   `arg:"--directory,required" help:"where to write the fleet's files"`
	Binaries        string   `arg:"--binaries" default:"out/bin" help:"where the programs are"`
	BasePort        int      `arg:"--base-port" default:"23000" help:"first port of the fleet; it uses 800"`
	Entries         int      `arg:"--entries" default:"2" help:"number of entry hosts"`
	Engines         int      `arg:"--engines" help:"one pool of this many engines in place of the reference pools"`
	DataCentres     []string `arg:"--data-centres,separate" help:"names of the data centres (default: nairobi mombasa kisumu)"`
	HostBytesPerS   int64    `arg:"--host-bytes-per-s" default:"2097152" help:"rate of each host's link, each way; 0: no limit"`
	OriginBytesPerS int64    `arg:"--origin-bytes-per-s" default:"4194304" help:"rate of the origin's link; 0: no limit"`
	StopOnViolation bool     `arg:"--stop-on-violation" help:"processes stop when an invariant is violated"`
	RecordFiles     bool     `arg:"--record-files" help:"backend servers append what they run to a file, so that a kill loses nothing"`
}

// Run writes the files of a fleet with the reference pools, or with one pool of
// engines if their number is given.
func (command *Command) Run(_ context.Context) error {
	directory, err := filepath.Abs(command.Directory)
	if err != nil {
		return err
	}
	if len(command.DataCentres) == 0 {
		command.DataCentres = strings.Fields("nairobi mombasa kisumu")
	}
	plan := Plan{
		BasePort:            command.BasePort,
		Directory:           directory,
		Binaries:            command.Binaries,
		DataCentres:         command.DataCentres,
		Region:              "kenya",
		Entries:             command.Entries,
		Pools:               ReferencePools(),
		HostBytesPerS:       command.HostBytesPerS,
		OriginBytesPerS:     command.OriginBytesPerS,
		StopOnViolation:     command.StopOnViolation,
		EngineRecordsToFile: command.RecordFiles,
	}
	if command.Engines > 0 {
		plan.Pools = []Pool{{Deployment: "plant", Type: "engine", Servers: command.Engines}}
	}
	return plan.Write()
}

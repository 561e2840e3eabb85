// Command fakeplatform simulates the services of the platform on one address, so
// that demos, benches and long runs need nothing outside this repository.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"firford/cmd/fakeplatform/server"
)

type arguments struct {
	Listen          string        `arg:"--listen" default:"127.0.0.1:7000" help:"address of all services"`
	TokenFile       string        `arg:"--token-file" help:"file with the bearer token that every caller must send; none: no authentication"`
	Hosts           string        `arg:"--hosts" help:"JSON file with the list of hosts at the start"`
	OriginBytesPerS int64         `arg:"--origin-bytes-per-s" default:"0" help:"rate of the origin's link; 0: no limit"`
	WritesPerS      int           `arg:"--writes-per-s" default:"400" help:"writes to table and objects; above: 429"`
	ReadsPerS       int           `arg:"--reads-per-s" default:"2000" help:"reads of table, objects and membership; above: 429"`
	State           string        `arg:"--state" help:"folder that keeps table, objects and weights when the process is killed"`
	MembershipLag   time.Duration `arg:"--membership-lag" default:"0s" help:"time until a change of the membership list is visible"`
}

// Description is printed above the help text.
func (arguments) Description() string {
	return "fakeplatform: table, objects, weight origin and membership list for tests"
}

func main() {
	var flags arguments
	arg.MustParse(&flags)
	if err := run(flags); err != nil {
		fmt.Fprintln(os.Stderr, "fakeplatform:", err)
		os.Exit(1)
	}
}

func run(flags arguments) error {
	settings := server.Settings{
		OriginBytesPerSecond: flags.OriginBytesPerS,
		WritesPerSecond:      flags.WritesPerS,
		ReadsPerSecond:       flags.ReadsPerS,
		MembershipLag:        flags.MembershipLag,
	}
	if flags.TokenFile != "" {
		token, err := os.ReadFile(flags.TokenFile)
		if err != nil {
			return fmt.Errorf("read token: %w", err)
		}
		settings.Token = strings.TrimSpace(string(token))
	}
	if flags.Hosts != "" {
		list, err := server.ReadHosts(flags.Hosts)
		if err != nil {
			return err
		}
		settings.Hosts = list
	}
	listener, err := net.Listen("tcp", flags.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	services := server.New(settings)
	if flags.State != "" {
		if err := services.PersistState(flags.State); err != nil {
			return err
		}
	}
	return services.Serve(ctx, listener)
}

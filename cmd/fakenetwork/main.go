// Command fakenetwork simulates faults of the network between processes: it relays
// TCP connections and can silence, stall, corrupt or break them.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/valyala/fasthttp"

	"firford/cmd/fakenetwork/relay"
)

type arguments struct {
	Routes string `arg:"--routes,required" help:"JSON file with a list of {name, listen, target}"`
	Admin  string `arg:"--admin,required" help:"IP address and port of POST /faults and GET /ready"`
}

func main() {
	var flags arguments
	arg.MustParse(&flags)
	if err := run(flags); err != nil {
		fmt.Fprintln(os.Stderr, "fakenetwork:", err)
		os.Exit(1)
	}
}

func run(flags arguments) error {
	body, err := os.ReadFile(flags.Routes)
	if err != nil {
		return err
	}
	var routes []relay.Route
	if err := json.Unmarshal(body, &routes); err != nil {
		return fmt.Errorf("%s: %w", flags.Routes, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	network := relay.New(routes)
	server := &fasthttp.Server{Handler: network.Handle, Name: "fakenetwork"}
	context.AfterFunc(ctx, func() { _ = server.Shutdown() })
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe(flags.Admin) }()
	if err := network.Run(ctx); err != nil {
		return err
	}
	return <-failed
}

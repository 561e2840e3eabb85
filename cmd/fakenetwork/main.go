// Command fakenetwork stands in for the network between processes: it relays
// TCP connections and can make them go silent, stall or break.
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
	var given arguments
	arg.MustParse(&given)
	if err := run(given); err != nil {
		fmt.Fprintln(os.Stderr, "fakenetwork:", err)
		os.Exit(1)
	}
}

func run(given arguments) error {
	body, err := os.ReadFile(given.Routes)
	if err != nil {
		return err
	}
	var routes []relay.Route
	if err := json.Unmarshal(body, &routes); err != nil {
		return fmt.Errorf("%s: %w", given.Routes, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	network := relay.New(routes)
	server := &fasthttp.Server{Handler: network.Handle, Name: "fakenetwork"}
	context.AfterFunc(ctx, func() { _ = server.Shutdown() })
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe(given.Admin) }()
	if err := network.Run(ctx); err != nil {
		return err
	}
	return <-failed
}

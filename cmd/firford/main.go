// Command firford is the command line for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"firford/cmd/firford/commands"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := commands.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

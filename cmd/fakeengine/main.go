// Command fakeengine simulates engines and plain services, with faults on demand,
// so that tests and benches need neither accelerators nor models.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"firford/cmd/fakeengine/fake"
)

func main() {
	settings := fake.DefaultSettings()
	arg.MustParse(&settings)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := fake.Serve(ctx, settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// Command endpointd simulates an endpoint for tests and the demo.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/azurepoint/azurepoint/endpointd/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

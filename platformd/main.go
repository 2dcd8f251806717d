// Command platformd simulates the platform for tests and the demo: the key-value
// service and the instance list, with faults on request.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/azurepoint/azurepoint/platformd/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// Command demo runs a small fleet on loopback, sends requests through it during
// configuration changes and injected faults, and checks the recorded history.
package main

import (
	"os"

	"github.com/azurepoint/azurepoint/demo/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}

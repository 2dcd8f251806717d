// Command azurepointd runs an entry instance as a daemon.
package main

import (
	"os"

	"github.com/azurepoint/azurepoint/azurepointd/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}

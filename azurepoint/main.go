// Azurepoint is the operators' command line.
package main

import (
	"os"

	"github.com/azurepoint/azurepoint/azurepoint/internal/cli"
)

func main() {
	os.Exit(cli.Main())
}

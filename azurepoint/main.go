// Command azurepoint is the command-line client of operators.
package main

import (
	"os"

	"github.com/azurepoint/azurepoint/azurepoint/internal/cli"
)

func main() {
	os.Exit(cli.Main())
}

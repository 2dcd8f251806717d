// Command measure simulates the policies under virtual time and prints their
// figures.
package main

import (
	"os"

	"github.com/azurepoint/azurepoint/measure/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}

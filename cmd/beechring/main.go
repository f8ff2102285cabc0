// Command beechring routes language-model traffic with long shared prompts.
package main

import (
	"os"

	"github.com/beechring/beechring/internal/command/beechcommand"
)

func main() {
	os.Exit(beechcommand.Run(os.Args[1:], os.Stdout, os.Stderr))
}

// Command larchctl is the operators' command line to the keepers.
package main

import (
	"os"

	"larchrouter/internal/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }

// Command larchlab plays relays against an emulated platform, with faults between them.
package main

import (
	"os"

	"larchrouter/internal/lab/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) }

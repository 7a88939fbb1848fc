// Command adapter runs choosers for the simulator, which it serves by the simulator's line protocol on standard input and output.
package main

import (
	"fmt"
	"os"

	"larchrouter/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

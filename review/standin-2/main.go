package main

import (
	"fmt"
	"os"
)

// cases are the cases by name.
var cases = map[string]func(r *rig){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review2 CASE RECORD")
		os.Exit(2)
	}
	run(os.Args[2], cases[os.Args[1]])
}

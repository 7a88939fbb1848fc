package main

import (
	"fmt"
	"os"
	"runtime"
)

// init keeps the main goroutine on one thread: the processes that it starts end with that thread.
func init() { runtime.LockOSThread() }

// cases are the cases by their names. Each returns how often the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken int, err error){
	"inner":      innerCase,
	"reload":     reloadCase,
	"succession": successionCase,
}

// main plays the case that its argument names. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
func main() {
	play := cases[os.Args[1]]
	w, err := newWorld()
	if err != nil || play == nil {
		fmt.Fprintln(os.Stderr, "standin:", os.Args, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w.log("case %s, disruption %t", os.Args[1], trouble)
	broken, err := play(w, trouble)
	w.relayLog()
	code := 0
	switch {
	case err != nil:
		w.log("the case could not run: %v", err)
		code = 2
	case broken > 0:
		code = 1
	}
	w.log("exit code %d", code)
	w.close()
	os.Exit(code)
}

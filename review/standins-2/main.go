//go:build review

// Command standins-2 plays the cases of a review: it starts the programs of the deploy file beside stand-ins of the
// platform, the backend servers and the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases holds the cases by name; trouble is false for the run without the disruption.
var cases = map[string]func(w *world, trouble bool){
	"zone-taken-back":      zoneTakenBack,
	"flows-and-silence":    flowsAndSilence,
	"restarts-and-silence": restartsAndSilence,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE RECORD")
		os.Exit(exitCannotRun)
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fail("%v", err)
	}
	w := newWorld(f)
	cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	w.close()
	code := exitHeld
	if len(w.violations) > 0 {
		code = exitBroken
	}
	for _, v := range w.violations {
		fmt.Println("BROKEN", v)
	}
	fmt.Println(map[int]string{exitHeld: "held", exitBroken: "broken"}[code])
	os.Exit(code)
}

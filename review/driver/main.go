//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runLimit ends a case that takes too long.
const runLimit = 115 * time.Second

var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"longflow":    longFlow,
	"strayflow":   strayFlow,
	"clockagent":  clockAgent,
	"foreignbeat": foreignBeat,
	"coldagent":   coldAgent,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD")
		os.Exit(exitNotRun)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(runLimit):
			w.say("the case took too long")
		}
		w.close()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	w.say("case %s, trouble %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](w, trouble)
	code := exitHeld
	switch {
	case err != nil:
		w.say("could not run: %v", err)
		code = exitNotRun
	case broken:
		w.say("the rule was broken")
		code = exitBroken
	default:
		w.say("the rule held")
	}
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		_ = os.CopyFS(dir, os.DirFS(w.dir))
	}
	w.close()
	os.Exit(code)
}

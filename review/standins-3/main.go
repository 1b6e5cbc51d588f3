//go:build review

package main

import (
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNoCheck = 2
)

// run is one run of a case; trouble is false without the disruption. It returns whether the rule was broken.
type run func(d *deployment, trouble bool) (broken bool, err error)

var cases = map[string]struct {
	zones []string
	run   run
}{
	"failback":   {[]string{"heredia-a", "heredia-b", "cartago-a"}, failback},
	"regression": {[]string{"heredia-a", "heredia-b"}, regression},
	"moved":      {[]string{"heredia-a", "heredia-b", "cartago-a"}, moved},
	"gap":        {[]string{"heredia-a", "heredia-b", "cartago-a"}, gap},
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins-3 CASE RECORD")
		return exitNoCheck
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return exitNoCheck
	}
	d, err := newDeployment(os.Args[2], c.zones...)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoCheck
	}
	defer d.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		d.close()
		os.Exit(exitNoCheck)
	}()
	broken, err := c.run(d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNoCheck
	case broken:
		return exitBroken
	}
	return exitHeld
}

// verdict prints a line and writes it to the record.
func (d *deployment) verdict(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Println(text)
	d.record.line("verdict", "text", text)
}

// load sends requests to a route at a rate until stop is closed, and returns their outcomes through collect.
func (d *deployment) load(route netip.AddrPort, perSecond int, stop <-chan struct{}, collect func(o outcome)) (wait func()) {
	var wg sync.WaitGroup
	wg.Go(func() {
		t := time.NewTicker(time.Second / time.Duration(perSecond))
		defer t.Stop()
		for {
			select {
			case <-stop:
				return
			case <-t.C:
			}
			wg.Go(func() { collect(d.clients.request(route, 1500*time.Millisecond)) })
		}
	})
	return wg.Wait
}

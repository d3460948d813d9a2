// Command review-standin-2 plays the cases of the second review against processes of the
// gateway. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
)

// verdict says whether the rule was broken, and why.
type verdict struct {
	broken bool
	why    string
}

// cases are the cases by name.
var cases = map[string]func(wo *world, trouble bool) (verdict, error){}

func main() {
	runtime.LockOSThread() // the hosts' processes end with the thread that started them
	os.Exit(play())
}

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 CASE RECORD")
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	wo, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer wo.end()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		wo.note("ended by a signal")
		wo.end()
		os.Exit(2)
	}()
	wo.note("case %s, trouble %t", os.Args[1], trouble)
	ve, err := cases[os.Args[1]](wo, trouble)
	switch {
	case err != nil:
		wo.say("the case couldn't run: %v", err)
		return 2
	case ve.broken:
		wo.say("BROKEN: %s", ve.why)
		return 1
	default:
		wo.say("held: %s", ve.why)
		return 0
	}
}

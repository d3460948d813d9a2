// Command review-standin plays the cases of the review. It starts entry hosts with the
// command of the deploy file as separate processes and is itself the platform's store and
// the clients. Engines are further processes of this program.
//
//	review-standin CASE DIR    plays a case and writes DIR/record.txt
//	review-standin engine ...  is one engine
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the
// case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// timeLimit bounds a case as a whole.
	timeLimit = 110 * time.Second
)

// cases are the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(*world) (bool, error){
	"keys":     playKeys,
	"unframed": playUnframed,
	"deadly":   playDeadly,
	"sparse":   playSparse,
	"long":     playLong,
	"foreign":  playForeign,
	"moved":    playMoved,
	"leave":    playLeave,
	"shared":   playShared,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		runEngine(os.Args[2:])
		return
	}
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-standin CASE DIR")
		return exitNotRun
	}
	wo, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("cannot run:", err)
		return exitNotRun
	}
	defer wo.close()
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := cases[os.Args[1]](wo)
		done <- outcome{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-stop:
		wo.record("stopped by a signal")
	case <-time.After(timeLimit):
		wo.record("not finished after %v", timeLimit)
	case out := <-done:
		switch {
		case out.err != nil:
			wo.record("cannot run: %v", out.err)
			fmt.Println("cannot run:", out.err)
		case out.broken:
			wo.record("RESULT broken")
			fmt.Println("broken")
			return exitBroken
		default:
			wo.record("RESULT held")
			fmt.Println("held")
			return exitHeld
		}
	}
	return exitNotRun
}

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRun is the longest time that a case may take.
const maxRun = 110 * time.Second

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// cases holds the cases by name. A case returns whether its rule was broken.
var cases = map[string]func(l *lab) (broken bool, err error){
	"drill":   playDrill,
	"heads":   playHeads,
	"crowd":   playCrowd,
	"cold":    playCold,
	"members": playMembers,
}

func main() {
	os.Exit(run())
}

// run plays the case that the first argument names and writes its record to the file that the second one names.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		return exitCouldNot
	}
	l, err := newLab(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	defer l.close()
	// A run that is ended from outside, or that lasts too long, ends its processes too.
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case s := <-ended:
			l.note("ended by the signal %v", s)
		case <-time.After(maxRun):
			l.note("ended after %v", maxRun)
		}
		l.close()
		os.Exit(exitCouldNot)
	}()
	broken, err := cases[os.Args[1]](l)
	switch {
	case err != nil:
		l.note("the case could not run: %v", err)
		return exitCouldNot
	case broken:
		l.note("result: the rule was broken")
		return exitBroken
	default:
		l.note("result: the rule held")
		return exitHeld
	}
}

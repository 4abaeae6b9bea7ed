package radishsignal

import (
	"os"
	"os/signal"
	"syscall"
)

// exitHangup is the exit code of a process that SIGHUP ends, by the convention of shells: 128 and the signal's number.
const exitHangup = 128 + int(syscall.SIGHUP)

// Hangups returns a channel that receives SIGHUP from now on; at most one signal is kept.
func Hangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// ExitOnHangup lets SIGHUP end the process, for commands that do not reload their settings.
func ExitOnHangup() {
	hangups := Hangups()
	go func() {
		<-hangups
		os.Exit(exitHangup)
	}()
}

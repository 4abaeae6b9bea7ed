// Command slopes measures how state, messages, processor time and memory grow with size, and extrapolates them.
package main

import (
	"fmt"
	"os"
	"runtime"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
)

// Sizes that the figures are extrapolated to.
const (
	futureTeams       = 26_000
	futureVMsPerDC    = 23
	futureTargetsDC   = 206
	futureChangesDay  = 16_000
	secondsPerDay     = 86_400
	futureRequests    = 22_000.0
	futureDataCentres = 16
	futureVMs         = 370
)

type options struct {
	Only    string `long:"only" description:"Measure only this: config, claim, cluster or poll"`
	Seconds int    `long:"seconds" default:"15" description:"Time of each measurement of a cluster"`
}

// point is a measured value at a size.
type point struct {
	size  float64
	value float64
}

// fit returns slope and intercept of the least-squares line through the points.
func fit(points []point) (slope, intercept float64) {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		n++
		sx += p.size
		sy += p.value
		sxx += p.size * p.size
		sxy += p.size * p.value
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}

// show prints the points, the fitted line and its value at the future size.
func show(name, unit, by string, points []point, at float64) float64 {
	slope, intercept := fit(points)
	fmt.Printf("slopes: %s [%s] by %s:", name, unit, by)
	for _, p := range points {
		fmt.Printf(" %g: %.4g", p.size, p.value)
	}
	value := slope*at + intercept
	fmt.Printf("; slope %.4g, intercept %.4g; at %g: %.4g\n", slope, intercept, at, value)
	return value
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heap returns the bytes in use after a collection.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(opts options) error {
	parts := []struct {
		name    string
		measure func() error
	}{
		{"config", measureConfiguration},
		{"claim", measureClaims},
		{"cluster", func() error { return measureCluster(time.Duration(opts.Seconds) * time.Second) }},
		{"poll", measurePolls},
	}
	for _, part := range parts {
		if opts.Only != "" && opts.Only != part.name {
			continue
		}
		if err := part.measure(); err != nil {
			return err
		}
	}
	return nil
}

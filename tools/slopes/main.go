// Command slopes measures how stored state, network traffic, CPU time and memory grow with the size of a deployment, and
// extrapolates them linearly to a projected size.
package main

import (
	"fmt"
	"os"
	"runtime"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
)

// The projected size that the measurements are extrapolated to.
const (
	projectedTeams          = 26_000
	projectedVMsPerDC       = 23
	projectedTargetsPerDC   = 206
	projectedChangesPerDay  = 16_000
	secondsPerDay           = 86_400
	projectedRequestsPerSec = 22_000.0
	projectedDataCentres    = 16
	projectedVMs            = 370
)

type options struct {
	Only    string `long:"only" description:"Measure only this: config, claim, cluster or poll"`
	Seconds int    `long:"seconds" default:"15" description:"Duration of each measurement of a cluster in seconds"`
}

// point is a value measured at one size.
type point struct {
	size  float64
	value float64
}

// fitLine returns the slope and the intercept of the least-squares line through the points.
func fitLine(points []point) (slope, intercept float64) {
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

// reportFit prints the points, the fitted line and its value at the projected size, and returns that value.
func reportFit(name, unit, sizeUnit string, points []point, projectedSize float64) float64 {
	slope, intercept := fitLine(points)
	fmt.Printf("slopes: %s [%s] by %s:", name, unit, sizeUnit)
	for _, p := range points {
		fmt.Printf(" %g: %.4g", p.size, p.value)
	}
	value := slope*projectedSize + intercept
	fmt.Printf("; slope %.4g, intercept %.4g; at %g: %.4g\n", slope, intercept, projectedSize, value)
	return value
}

// cpuTime returns the user and system CPU time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapInUse returns the bytes of live heap objects after garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
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
	measurements := []struct {
		name    string
		measure func() error
	}{
		{"config", measureConfiguration},
		{"claim", measureClaims},
		{"cluster", func() error { return measureCluster(time.Duration(opts.Seconds) * time.Second) }},
		{"poll", measureLoadReports},
	}
	for _, m := range measurements {
		if opts.Only != "" && opts.Only != m.name {
			continue
		}
		if err := m.measure(); err != nil {
			return err
		}
	}
	return nil
}

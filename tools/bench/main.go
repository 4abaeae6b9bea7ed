// Command bench compares the latency of four-stage requests sent through an entry VM with that of the same four calls sent
// directly to the targets.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"

	"radishramp.example/radishramp/internal/radishtarget"
	"radishramp.example/radishramp/pkg/radish"
)

const (
	readyTimeout   = 20 * time.Second
	requestTimeout = 5 * time.Second
	warmUpDuration = 2 * time.Second
	// maxLatencyMicros is the highest latency that the histograms record, in microseconds; higher ones count as this one.
	maxLatencyMicros = 10_000_000
	// Limits on the latency that an entry VM may add.
	maxAddedMedian = time.Millisecond
	maxAddedP99    = 5 * time.Millisecond
)

type options struct {
	Entry   string  `long:"entry" required:"yes" description:"Address of the entry VM"`
	Rate    float64 `long:"rate" default:"2000" description:"Requests per second"`
	Seconds int     `long:"seconds" default:"10" description:"Duration of each measurement in seconds"`
	Args    struct {
		Targets []string `positional-arg-name:"HOST:PORT"`
	} `positional-args:"yes" required:"yes"`
}

// latencySample holds the latencies of one measurement.
type latencySample struct {
	mu     sync.Mutex
	hist   *hdrhistogram.Histogram
	failed int
	// roundP99s are the 99th percentiles of the merged rounds.
	roundP99s []time.Duration
}

func newLatencySample() *latencySample {
	return &latencySample{hist: hdrhistogram.New(1, maxLatencyMicros, 3)}
}

func (s *latencySample) merge(round *latencySample) {
	s.hist.Merge(round.hist)
	s.failed += round.failed
	s.roundP99s = append(s.roundP99s, round.quantile(99))
}

// medianRoundP99 returns the median of the rounds' 99th percentiles.
func (s *latencySample) medianRoundP99() time.Duration {
	slices.Sort(s.roundP99s)
	return s.roundP99s[len(s.roundP99s)/2]
}

func (s *latencySample) add(latency time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.failed++
		return
	}
	_ = s.hist.RecordValue(min(latency.Microseconds(), maxLatencyMicros))
}

func (s *latencySample) quantile(q float64) time.Duration {
	return time.Duration(s.hist.ValueAtQuantile(q)) * time.Microsecond
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}, Timeout: requestTimeout}
	if err := waitUntilReady(client, opts.Entry); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	direct := callTargets(client, opts.Args.Targets)
	viaEntry := callEntry(client, opts.Entry)
	measureLatency(opts.Rate, warmUpDuration, viaEntry)
	measureLatency(opts.Rate, warmUpDuration, direct)
	directSample, entrySample := newLatencySample(), newLatencySample()
	// Measures both alternately in rounds of one second, so that other load on the machine affects both equally.
	for range opts.Seconds {
		directSample.merge(measureLatency(opts.Rate, time.Second, direct))
		entrySample.merge(measureLatency(opts.Rate, time.Second, viaEntry))
	}
	report(opts.Rate, directSample, entrySample)
}

func waitUntilReady(client *http.Client, entry string) error {
	for readyBy := time.Now().Add(readyTimeout); time.Now().Before(readyBy); time.Sleep(100 * time.Millisecond) {
		if callEntry(client, entry)() == nil {
			return nil
		}
	}
	return fmt.Errorf("entry VM %s did not become ready", entry)
}

func callEntry(client *http.Client, entry string) func() error {
	return func() error {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+entry+"/v1/pipelines/survey_report", strings.NewReader(`{"segment":"N3-km-41"}`))
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer demo-roads")
		return sendRequest(client, req)
	}
}

func callTargets(client *http.Client, targets []string) func() error {
	kinds := []string{"encode", "retrieve", "rerank", "generate"}
	return func() error {
		for i, target := range targets {
			kind, _ := radish.StageKinds.Lookup(kinds[i])
			req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+target+kind.Path, strings.NewReader(`{"segment":"N3-km-41"}`))
			if err != nil {
				return err
			}
			req.Header.Set(radishtarget.HeaderAttemptID, uuid.NewString())
			if err := sendRequest(client, req); err != nil {
				return err
			}
		}
		return nil
	}
}

func sendRequest(client *http.Client, req *http.Request) error {
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return nil
}

// measureLatency starts calls at a constant rate, independent of response times. It measures each call's latency from the
// time when the call was scheduled, so that delays in starting it are included.
func measureLatency(rate float64, duration time.Duration, call func() error) *latencySample {
	s := newLatencySample()
	var wg sync.WaitGroup
	interval := time.Duration(float64(time.Second) / rate)
	start := time.Now()
	for i := range int(duration.Seconds() * rate) {
		due := start.Add(time.Duration(i) * interval)
		time.Sleep(time.Until(due))
		wg.Go(func() {
			err := call()
			s.add(time.Since(due), err)
		})
	}
	wg.Wait()
	return s
}

func report(rate float64, directSample, entrySample *latencySample) {
	addedMedian := entrySample.quantile(50) - directSample.quantile(50)
	addedP99 := entrySample.quantile(99) - directSample.quantile(99)
	fmt.Printf("bench: %s requests/s, four stages\n", strconv.FormatFloat(rate, 'f', -1, 64))
	for _, row := range []struct {
		name string
		s    *latencySample
	}{{"direct", directSample}, {"entry", entrySample}} {
		fmt.Printf("bench: %-6s answered %d failed %d p50 %v p90 %v p99 %v, median p99 of a round %v\n",
			row.name, row.s.hist.TotalCount(), row.s.failed, row.s.quantile(50), row.s.quantile(90), row.s.quantile(99), row.s.medianRoundP99())
	}
	fmt.Printf("bench: added p50 %v (limit %v), added p99 %v (limit %v)\n", addedMedian, maxAddedMedian, addedP99, maxAddedP99)
	if entrySample.failed > 0 || addedMedian > maxAddedMedian || addedP99 > maxAddedP99 {
		fmt.Println("bench: requests failed, or the added latency exceeds its limit")
		os.Exit(1)
	}
}

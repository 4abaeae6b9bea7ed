// Command bench compares four-stage requests through an entry VM with the same four calls made directly.
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
	readyTimeout = 20 * time.Second
	callTimeout  = 5 * time.Second
	warmUp       = 2 * time.Second
	// maxMicros is the longest time that the histograms hold, in microseconds.
	maxMicros = 10_000_000
	// The stated targets for what an entry VM adds.
	maxAddedMedian = time.Millisecond
	maxAddedP99    = 5 * time.Millisecond
)

type options struct {
	Entry   string  `long:"entry" required:"yes" description:"Address of the entry VM"`
	Rate    float64 `long:"rate" default:"2000" description:"Requests a second"`
	Seconds int     `long:"seconds" default:"10" description:"Time of each measurement"`
	Args    struct {
		Targets []string `positional-arg-name:"HOST:PORT"`
	} `positional-args:"yes" required:"yes"`
}

// sample collects the latencies of one measurement.
type sample struct {
	mu     sync.Mutex
	hist   *hdrhistogram.Histogram
	failed int
	// p99s are the 99th percentiles of the turns.
	p99s []time.Duration
}

func newSample() *sample { return &sample{hist: hdrhistogram.New(1, maxMicros, 3)} }

func (s *sample) merge(turn *sample) {
	s.hist.Merge(turn.hist)
	s.failed += turn.failed
	s.p99s = append(s.p99s, turn.quantile(99))
}

// medianTurn returns the median of the turns' 99th percentiles.
func (s *sample) medianTurn() time.Duration {
	slices.Sort(s.p99s)
	return s.p99s[len(s.p99s)/2]
}

func (s *sample) add(took time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.failed++
		return
	}
	_ = s.hist.RecordValue(min(took.Microseconds(), maxMicros))
}

func (s *sample) quantile(q float64) time.Duration {
	return time.Duration(s.hist.ValueAtQuantile(q)) * time.Microsecond
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}, Timeout: callTimeout}
	if err := waitReady(client, opts.Entry); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	direct := callDirectly(client, opts.Args.Targets)
	through := callEntry(client, opts.Entry)
	measure(opts.Rate, warmUp, through)
	measure(opts.Rate, warmUp, direct)
	base, ours := newSample(), newSample()
	// The two take turns of a second, so that a busy machine disturbs both alike.
	for range opts.Seconds {
		base.merge(measure(opts.Rate, time.Second, direct))
		ours.merge(measure(opts.Rate, time.Second, through))
	}
	report(opts.Rate, base, ours)
}

func waitReady(client *http.Client, entry string) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if callEntry(client, entry)() == nil {
			return nil
		}
	}
	return fmt.Errorf("entry VM %s does not answer", entry)
}

func callEntry(client *http.Client, entry string) func() error {
	return func() error {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+entry+"/v1/pipelines/survey_report", strings.NewReader(`{"segment":"N3-km-41"}`))
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer demo-roads")
		return do(client, req)
	}
}

func callDirectly(client *http.Client, targets []string) func() error {
	kinds := []string{"encode", "retrieve", "rerank", "generate"}
	return func() error {
		for i, target := range targets {
			kind, _ := radish.StageKinds.Lookup(kinds[i])
			req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+target+kind.Path, strings.NewReader(`{"segment":"N3-km-41"}`))
			if err != nil {
				return err
			}
			req.Header.Set(radishtarget.HeaderAttemptID, uuid.NewString())
			if err := do(client, req); err != nil {
				return err
			}
		}
		return nil
	}
}

func do(client *http.Client, req *http.Request) error {
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

// measure calls at a constant rate, whatever the answers take, and times each call from when it was due.
func measure(rate float64, length time.Duration, call func() error) *sample {
	s := newSample()
	var wg sync.WaitGroup
	gap := time.Duration(float64(time.Second) / rate)
	start := time.Now()
	for i := range int(length.Seconds() * rate) {
		due := start.Add(time.Duration(i) * gap)
		time.Sleep(time.Until(due))
		wg.Go(func() {
			err := call()
			s.add(time.Since(due), err)
		})
	}
	wg.Wait()
	return s
}

func report(rate float64, base, ours *sample) {
	addedMedian := ours.quantile(50) - base.quantile(50)
	addedP99 := ours.quantile(99) - base.quantile(99)
	fmt.Printf("bench: %s requests/s, four stages\n", strconv.FormatFloat(rate, 'f', -1, 64))
	for _, row := range []struct {
		name string
		s    *sample
	}{{"direct", base}, {"entry", ours}} {
		fmt.Printf("bench: %-6s answered %d failed %d p50 %v p90 %v p99 %v, median turn p99 %v\n",
			row.name, row.s.hist.TotalCount(), row.s.failed, row.s.quantile(50), row.s.quantile(90), row.s.quantile(99), row.s.medianTurn())
	}
	fmt.Printf("bench: added p50 %v (target %v), p99 %v (target %v)\n", addedMedian, maxAddedMedian, addedP99, maxAddedP99)
	if ours.failed > 0 || addedMedian > maxAddedMedian || addedP99 > maxAddedP99 {
		fmt.Println("bench: target missed")
		os.Exit(1)
	}
}

// Command demo sends requests of both users' pipelines to entry VMs and counts how they were answered.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jessevdk/go-flags"

	"radishramp.example/radishramp/internal/radishentry"
)

const (
	readyTimeout = 20 * time.Second
	deadline     = 5 * time.Second
	progressStep = 500
)

type options struct {
	Requests int     `long:"requests" default:"2000"`
	Rate     float64 `long:"rate" default:"200" description:"Requests a second"`
	Args     struct {
		Entries []string `positional-arg-name:"HOST:PORT"`
	} `positional-args:"yes" required:"yes"`
}

// workload is a kind of request that the demo sends.
type workload struct {
	pipeline string
	token    string
	body     string
	streams  bool
	hasKey   bool
}

var workloads = []workload{
	{pipeline: "survey_report", token: "demo-roads", body: `{"segment":"N3-km-41","traces":[0.41,0.38,0.44]}`},
	{pipeline: "session_digest", token: "demo-congress", body: `{"session":"plenary-2","transcript":"the chair opens the session"}`, streams: true},
	{pipeline: "work_order", token: "demo-roads", body: `{"segment":"N3-km-41","lane":1,"crew":"B"}`, hasKey: true},
	{pipeline: "seat_booking", token: "demo-congress", body: `{"workshop":"W7","delegate":1204}`, hasKey: true},
}

// tally counts outcomes.
type tally struct {
	mu                            sync.Mutex
	sent, whole, refused, unknown int
}

func (t *tally) add(ran radishentry.Execution, isWhole bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	switch {
	case isWhole:
		t.whole++
	case ran == radishentry.ExecutionNone:
		t.refused++
	default:
		t.unknown++
	}
	if t.sent%progressStep == 0 {
		fmt.Printf("demo: %d requests answered\n", t.sent)
	}
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := waitReady(opts.Args.Entries); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	t := sendAll(opts)
	fmt.Printf("demo: %d sent, %d answered whole within deadline, %d refused, %d unknown\n", t.sent, t.whole, t.refused, t.unknown)
	if t.whole != opts.Requests {
		os.Exit(1)
	}
}

func waitReady(entries []string) error {
	end := time.Now().Add(readyTimeout)
	for _, entry := range entries {
		for !isReady(entry) {
			if time.Now().After(end) {
				return fmt.Errorf("entry VM %s is not ready after %v", entry, readyTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	fmt.Printf("demo: %d entry VMs are ready\n", len(entries))
	return nil
}

func isReady(entry string) bool {
	res, err := http.Get("http://" + entry + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func sendAll(opts options) *tally {
	t := &tally{}
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / opts.Rate))
	defer ticker.Stop()
	for i := range opts.Requests {
		<-ticker.C
		wl := workloads[i%len(workloads)]
		entry := opts.Args.Entries[i/len(workloads)%len(opts.Args.Entries)]
		wg.Go(func() { t.add(send(entry, wl)) })
	}
	wg.Wait()
	return t
}

func send(entry string, wl workload) (radishentry.Execution, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/pipelines/"+wl.pipeline, strings.NewReader(wl.body))
	if err != nil {
		return radishentry.ExecutionUnknown, false
	}
	req.Header.Set("Authorization", "Bearer "+wl.token)
	if wl.streams {
		req.Header.Set("Accept", "text/event-stream")
	}
	if wl.hasKey {
		req.Header.Set(radishentry.HeaderIdempotencyKey, uuid.Must(uuid.NewV7()).String())
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return radishentry.ExecutionUnknown, false
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return radishentry.ExecutionUnknown, false
	}
	if res.StatusCode != http.StatusOK {
		return refusal(res.StatusCode, body), false
	}
	if wl.streams {
		return radishentry.ExecutionUnknown, bytes.Contains(body, []byte("event: end\n"))
	}
	return radishentry.ExecutionUnknown, json.Valid(body)
}

func refusal(status int, body []byte) radishentry.Execution {
	var problem radishentry.Problem
	_ = json.Unmarshal(body, &problem)
	fmt.Fprintf(os.Stderr, "demo: status %d: %s\n", status, bytes.TrimSpace(body))
	return problem.Execution
}

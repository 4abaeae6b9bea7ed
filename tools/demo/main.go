// Command demo sends requests for the example pipelines to entry VMs and counts their outcomes.
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
	readyTimeout     = 20 * time.Second
	deadline         = 5 * time.Second
	progressInterval = 500
)

type options struct {
	Requests int     `long:"requests" default:"2000"`
	Rate     float64 `long:"rate" default:"200" description:"Requests per second"`
	Args     struct {
		Entries []string `positional-arg-name:"HOST:PORT"`
	} `positional-args:"yes" required:"yes"`
}

// requestKind is a kind of request that the demo sends.
type requestKind struct {
	pipeline          string
	token             string
	body              string
	isStreaming       bool
	hasIdempotencyKey bool
}

var requestKinds = []requestKind{
	{pipeline: "survey_report", token: "demo-roads", body: `{"segment":"N3-km-41","traces":[0.41,0.38,0.44]}`},
	{pipeline: "session_digest", token: "demo-congress", body: `{"session":"plenary-2","transcript":"the chair opens the session"}`, isStreaming: true},
	{pipeline: "work_order", token: "demo-roads", body: `{"segment":"N3-km-41","lane":1,"crew":"B"}`, hasIdempotencyKey: true},
	{pipeline: "seat_booking", token: "demo-congress", body: `{"workshop":"W7","delegate":1204}`, hasIdempotencyKey: true},
}

// outcomeCounts counts the outcomes of requests.
type outcomeCounts struct {
	mu                                sync.Mutex
	sent, completed, refused, unknown int
}

func (c *outcomeCounts) add(ran radishentry.Execution, isComplete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	switch {
	case isComplete:
		c.completed++
	case ran == radishentry.ExecutionNone:
		c.refused++
	default:
		c.unknown++
	}
	if c.sent%progressInterval == 0 {
		fmt.Printf("demo: %d requests finished\n", c.sent)
	}
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := waitUntilReady(opts.Args.Entries); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	counts := sendAll(opts)
	fmt.Printf("demo: %d sent, %d answered whole within deadline, %d refused, %d unknown\n",
		counts.sent, counts.completed, counts.refused, counts.unknown)
	if counts.completed != opts.Requests {
		os.Exit(1)
	}
}

func waitUntilReady(entries []string) error {
	readyBy := time.Now().Add(readyTimeout)
	for _, entry := range entries {
		for !isReady(entry) {
			if time.Now().After(readyBy) {
				return fmt.Errorf("entry VM %s did not become ready within %v", entry, readyTimeout)
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

func sendAll(opts options) *outcomeCounts {
	counts := &outcomeCounts{}
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / opts.Rate))
	defer ticker.Stop()
	for i := range opts.Requests {
		<-ticker.C
		kind := requestKinds[i%len(requestKinds)]
		entry := opts.Args.Entries[i/len(requestKinds)%len(opts.Args.Entries)]
		wg.Go(func() { counts.add(sendRequest(entry, kind)) })
	}
	wg.Wait()
	return counts
}

// sendRequest sends one request. It returns whether the pipeline ran, as far as the response shows, and whether a
// complete response arrived.
func sendRequest(entry string, kind requestKind) (radishentry.Execution, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/pipelines/"+kind.pipeline, strings.NewReader(kind.body))
	if err != nil {
		return radishentry.ExecutionUnknown, false
	}
	req.Header.Set("Authorization", "Bearer "+kind.token)
	if kind.isStreaming {
		req.Header.Set("Accept", "text/event-stream")
	}
	if kind.hasIdempotencyKey {
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
		return parseRan(res.StatusCode, body), false
	}
	if kind.isStreaming {
		return radishentry.ExecutionUnknown, bytes.Contains(body, []byte("event: end\n"))
	}
	return radishentry.ExecutionUnknown, json.Valid(body)
}

// parseRan returns whether the pipeline ran, as an error response reports it, and prints the response.
func parseRan(status int, body []byte) radishentry.Execution {
	var problem radishentry.Problem
	_ = json.Unmarshal(body, &problem)
	fmt.Fprintf(os.Stderr, "demo: request failed with status %d: %s\n", status, bytes.TrimSpace(body))
	return problem.Execution
}

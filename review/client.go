package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	clientHost = "pule25.example"
	clientKey  = "9dnn2ctnfzs989anu6ws"
	tenant     = "bozi300"
)

// limits are those of the configurations on the users' pages.
var limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

var tenants = []map[string]any{{"name": tenant, "api_keys": []string{clientKey}, "priority": 1}}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// newRequest returns a client's request to an entry VM.
func newRequest(ctx context.Context, v *vm, method, path, id string, body []byte, deadline time.Duration) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+v.front()+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = clientHost
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Authorization", "Token "+clientKey)
	r.Header["User-Agent"] = nil
	return r
}

// addPrompt adds the headers of a request to a model.
func addPrompt(r *http.Request, id string) {
	r.Header.Set("Model", "m")
	r.Header.Set("Token-Usage", "1460,80")
	r.Header.Set("Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,"+id[:8]+":250")
}

// newClient returns an HTTP client that keeps its connections open.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1000}}
}

// answer is what a client got: status 0 stands for no complete answer.
type answer struct {
	status int
	stamp  string
	body   string
	err    error
}

func do(c *http.Client, r *http.Request) answer {
	res, err := c.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	a := answer{status: res.StatusCode, stamp: res.Header.Get("Response-Stamp"), body: string(body), err: err}
	if err != nil {
		a.status = 0
	}
	return a
}

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answer is how a request ended for its client. The status is 0 if there was no answer.
type answer struct {
	id     string
	status int
	body   string
	sentAt time.Time
	took   time.Duration
	err    error
}

// client sends requests to one entry VM over connections that it keeps.
type client struct {
	lab  *lab
	vm   *vm
	http *http.Client
}

var requestCount atomic.Int64

func (l *lab) newClient(v *vm) *client {
	return &client{lab: l, vm: v, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second}}}
}

// send sends a request to the route of the path and waits for the answer, at most until its deadline.
func (c *client) send(method, path, key string, deadline time.Duration) answer {
	a := answer{id: fmt.Sprintf("%016x", 0x1c41d07b00000000+requestCount.Add(1)), sentAt: time.Now()}
	var body io.Reader
	if method == http.MethodPost {
		// Without GetBody, the client does not send the request a second time by itself.
		body = struct{ io.Reader }{strings.NewReader("order " + a.id)}
	}
	req, err := http.NewRequest(method, "http://"+c.vm.front+path, body)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = "desk.example"
	req.Header.Set("Attempt-Id", a.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		req.Header.Set("Authorization", "Token "+key)
	}
	c.lab.line(fmt.Sprintf("client sends %s %s %s key=%s to %s", a.id, method, path, key, c.vm.name))
	client := *c.http
	client.Timeout = deadline
	res, err := client.Do(req)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		a.status, a.body = res.StatusCode, string(text)
	}
	a.err, a.took = err, time.Since(a.sentAt)
	c.lab.line(fmt.Sprintf("client gets %s status=%d took=%dms err=%v", a.id, a.status, a.took.Milliseconds(), err))
	return a
}

// load sends requests at a rate to each VM until the returned function is called, which waits for their ends and returns the answers.
func (l *lab) load(method, path, key string, deadline time.Duration, perVM int) (end func() []answer) {
	stop := make(chan struct{})
	var mu sync.Mutex
	var answers []answer
	var senders, requests sync.WaitGroup
	for _, v := range l.vms {
		c := l.newClient(v)
		senders.Go(func() {
			ticker := time.NewTicker(time.Second / time.Duration(perVM))
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
					requests.Go(func() {
						a := c.send(method, path, key, deadline)
						mu.Lock()
						defer mu.Unlock()
						answers = append(answers, a)
					})
				}
			}
		})
	}
	return func() []answer {
		close(stop)
		senders.Wait()
		requests.Wait()
		return answers
	}
}

// countStatus returns the number of answers by status.
func countStatus(answers []answer) map[int]int {
	counts := make(map[int]int)
	for _, a := range answers {
		counts[a.status]++
	}
	return counts
}

package radishtarget_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"radishramp.example/radishramp/internal/radishstandin"
	"radishramp.example/radishramp/internal/radishtarget"
	"radishramp.example/radishramp/pkg/radish"
)

func newAttempt(server *httptest.Server, kindName string) *radish.Attempt {
	kind, _ := radish.StageKinds.Lookup(kindName)
	return &radish.Attempt{
		ID: "attempt-1", RequestID: "request-1", Kind: kind, Input: []byte(`{"q":1}`),
		Target: radish.Target{Name: "llm-1", Address: strings.TrimPrefix(server.URL, "http://")},
	}
}

func TestClientClassifiesResponses(t *testing.T) {
	writeResponse := func(w http.ResponseWriter, id string) {
		w.Header().Set(radishtarget.HeaderAttemptID, id)
		w.Header().Set("Content-Length", "2")
		_, _ = io.WriteString(w, "{}")
	}
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		stream  bool
		want    error
	}{
		{name: "complete response", handler: func(w http.ResponseWriter, _ *http.Request) { writeResponse(w, "attempt-1") }},
		{name: "ID of another attempt", handler: func(w http.ResponseWriter, _ *http.Request) { writeResponse(w, "attempt-0") }, want: radish.ErrAttemptMismatch},
		{name: "no attempt ID", handler: func(w http.ResponseWriter, _ *http.Request) { writeResponse(w, "") }, want: radish.ErrAttemptMismatch},
		{name: "truncated response", want: radish.ErrTruncated, handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(radishtarget.HeaderAttemptID, "attempt-1")
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "{")
		}},
		{name: "no Content-Length", want: radish.ErrTruncated, handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(radishtarget.HeaderAttemptID, "attempt-1")
			w.(http.Flusher).Flush()
			_, _ = io.WriteString(w, "{}")
		}},
		{name: "rejected without execution", want: radish.ErrRejected, handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(429) }},
		{name: "server error", want: radish.ErrTargetFailed, handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }},
		{name: "invalid input", want: radish.ErrBadRequest, handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(422) }},
		{name: "connection closed without a response", want: radish.ErrTargetFailed, handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{name: "complete stream", stream: true, handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(radishtarget.HeaderAttemptID, "attempt-1")
			_, _ = io.WriteString(w, "data: 1\n\nevent: end\ndata: attempt-1\n\n")
		}},
		{name: "stream without end event", stream: true, want: radish.ErrTruncated, handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(radishtarget.HeaderAttemptID, "attempt-1")
			_, _ = io.WriteString(w, "data: 1\n\n")
		}},
		{name: "end event of another attempt", stream: true, want: radish.ErrAttemptMismatch, handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(radishtarget.HeaderAttemptID, "attempt-1")
			_, _ = io.WriteString(w, "data: 1\n\nevent: end\ndata: attempt-0\n\n")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			a := newAttempt(server, "generate")
			if c.stream {
				a.Sink = io.Discard
			}
			client := &radishtarget.Client{HTTP: &http.Client{Transport: radishtarget.NewTransport()}}
			_, err := client.Do(context.Background(), a)
			if !errors.Is(err, c.want) || (c.want == nil && err != nil) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
		})
	}
}

func TestClientReturnsNotSent(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	a := newAttempt(server, "call")
	server.Close()
	client := &radishtarget.Client{HTTP: &http.Client{Transport: radishtarget.NewTransport()}}
	if _, err := client.Do(context.Background(), a); !errors.Is(err, radish.ErrNotSent) {
		t.Errorf("no listener at the address: got %v, want %v", err, radish.ErrNotSent)
	}
	received := false
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		received = received || err == nil
		w.WriteHeader(500)
	}))
	defer server.Close()
	a = newAttempt(server, "call")
	a.StartDeadline = time.Now().Add(-time.Millisecond)
	if _, err := client.Do(context.Background(), a); !errors.Is(err, radish.ErrNotSent) {
		t.Errorf("start deadline passed: got %v, want %v", err, radish.ErrNotSent)
	}
	server.Close()
	if received {
		t.Error("the target received a complete request after the start deadline")
	}
}

// TestClientDetectsInjectedFaults checks which errors the client returns for the faults that the simulated target
// injects, both for whole responses and for streams.
func TestClientDetectsInjectedFaults(t *testing.T) {
	target := &radishstandin.Target{Name: "llm-1", Tokens: 8}
	target.Start()
	server := httptest.NewServer(target.Handler())
	defer server.Close()
	client := &radishtarget.Client{HTTP: &http.Client{Transport: radishtarget.NewTransport()}}
	for _, c := range []struct {
		faults radishstandin.TargetFaults
		want   error
	}{
		{radishstandin.TargetFaults{}, nil},
		{radishstandin.TargetFaults{FailEvery: 1}, radish.ErrTargetFailed},
		{radishstandin.TargetFaults{TruncateEvery: 1}, radish.ErrTruncated},
	} {
		for _, sink := range []io.Writer{nil, io.Discard} {
			target.SetFaults(c.faults)
			a := newAttempt(server, "generate")
			a.Sink = sink
			_, err := client.Do(context.Background(), a)
			if !errors.Is(err, c.want) || (c.want == nil && err != nil) {
				t.Errorf("%+v: got %v, want %v", c.faults, err, c.want)
			}
		}
	}
}

// TestStreamAllocationsAreConstant compares the allocations of a short and a long stream: streaming must not allocate
// memory for each event.
func TestStreamAllocationsAreConstant(t *testing.T) {
	event := []byte("data: {\"token\":1}\n\n")
	measure := func(tokens int) float64 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(radishtarget.HeaderAttemptID, "attempt-1")
			for range tokens {
				_, _ = w.Write(event)
			}
			_, _ = io.WriteString(w, "event: end\ndata: attempt-1\n\n")
		}))
		defer server.Close()
		client := &radishtarget.Client{HTTP: &http.Client{Transport: radishtarget.NewTransport()}}
		return testing.AllocsPerRun(20, func() {
			a := newAttempt(server, "generate")
			a.Sink = io.Discard
			if _, err := client.Do(context.Background(), a); err != nil {
				t.Fatal(err)
			}
		})
	}
	// The HTTP server and the transport may allocate for each chunk that they transfer, which holds about 200 events.
	short, long := measure(100), measure(10_000)
	if perToken := (long - short) / 9_900; perToken > 0.05 {
		t.Errorf("got %.3f allocations for each streamed token, want at most 0.05", perToken)
	}
}

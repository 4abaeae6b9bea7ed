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

func attemptAt(server *httptest.Server, kind string) *radish.Attempt {
	stage, _ := radish.StageKinds.Lookup(kind)
	return &radish.Attempt{
		ID: "attempt-1", RequestID: "request-1", Kind: stage, Input: []byte(`{"q":1}`),
		Target: radish.Target{Name: "llm-1", Address: strings.TrimPrefix(server.URL, "http://")},
	}
}

func TestClientTellsAnswersApart(t *testing.T) {
	whole := func(w http.ResponseWriter, id string) {
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
		{name: "whole", handler: func(w http.ResponseWriter, _ *http.Request) { whole(w, "attempt-1") }},
		{name: "crossed", handler: func(w http.ResponseWriter, _ *http.Request) { whole(w, "attempt-0") }, want: radish.ErrAttemptMismatch},
		{name: "without an attempt id", handler: func(w http.ResponseWriter, _ *http.Request) { whole(w, "") }, want: radish.ErrAttemptMismatch},
		{name: "cut", want: radish.ErrTruncated, handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(radishtarget.HeaderAttemptID, "attempt-1")
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "{")
		}},
		{name: "without a length", want: radish.ErrTruncated, handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(radishtarget.HeaderAttemptID, "attempt-1")
			w.(http.Flusher).Flush()
			_, _ = io.WriteString(w, "{}")
		}},
		{name: "refused before it ran", want: radish.ErrRejected, handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(429) }},
		{name: "failed", want: radish.ErrTargetFailed, handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }},
		{name: "input at fault", want: radish.ErrBadRequest, handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(422) }},
		{name: "connection dropped", want: radish.ErrTargetFailed, handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{name: "whole stream", stream: true, handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(radishtarget.HeaderAttemptID, "attempt-1")
			_, _ = io.WriteString(w, "data: 1\n\nevent: end\ndata: attempt-1\n\n")
		}},
		{name: "stream without its end", stream: true, want: radish.ErrTruncated, handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(radishtarget.HeaderAttemptID, "attempt-1")
			_, _ = io.WriteString(w, "data: 1\n\n")
		}},
		{name: "stream with another's end", stream: true, want: radish.ErrAttemptMismatch, handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(radishtarget.HeaderAttemptID, "attempt-1")
			_, _ = io.WriteString(w, "data: 1\n\nevent: end\ndata: attempt-0\n\n")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			a := attemptAt(server, "generate")
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

func TestClientSendsNothing(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	a := attemptAt(server, "call")
	server.Close()
	client := &radishtarget.Client{HTTP: &http.Client{Transport: radishtarget.NewTransport()}}
	if _, err := client.Do(context.Background(), a); !errors.Is(err, radish.ErrNotSent) {
		t.Errorf("nobody listens: got %v, want %v", err, radish.ErrNotSent)
	}
	asked := false
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		asked = asked || err == nil
		w.WriteHeader(500)
	}))
	defer server.Close()
	a = attemptAt(server, "call")
	a.StartDeadline = time.Now().Add(-time.Millisecond)
	if _, err := client.Do(context.Background(), a); !errors.Is(err, radish.ErrNotSent) {
		t.Errorf("permit over: got %v, want %v", err, radish.ErrNotSent)
	}
	server.Close()
	if asked {
		t.Error("a whole request reached the target after its permit's end")
	}
}

// TestStandInAndClientAgree runs the stand-in's faults through the HTTP client.
func TestStandInAndClientAgree(t *testing.T) {
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
		{radishstandin.TargetFaults{CutEvery: 1}, radish.ErrTruncated},
	} {
		for _, sink := range []io.Writer{nil, io.Discard} {
			target.SetFaults(c.faults)
			a := attemptAt(server, "generate")
			a.Sink = sink
			_, err := client.Do(context.Background(), a)
			if !errors.Is(err, c.want) || (c.want == nil && err != nil) {
				t.Errorf("%+v: got %v, want %v", c.faults, err, c.want)
			}
		}
	}
}

// TestStreamTakesConstantMemory streams answers of two lengths and compares what they allocate.
func TestStreamTakesConstantMemory(t *testing.T) {
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
			a := attemptAt(server, "generate")
			a.Sink = io.Discard
			if _, err := client.Do(context.Background(), a); err != nil {
				t.Fatal(err)
			}
		})
	}
	// The server's and the transport's own buffers pass in chunks of some 200 events.
	short, long := measure(100), measure(10_000)
	if perToken := (long - short) / 9_900; perToken > 0.05 {
		t.Errorf("a streamed token costs %.3f allocations, want none", perToken)
	}
}

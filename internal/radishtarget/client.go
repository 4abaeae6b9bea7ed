package radishtarget

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"radishramp.example/radishramp/internal/radishdial"
	"radishramp.example/radishramp/pkg/radish"
)

// HTTP headers of requests from an entry VM to a target and of their responses.
const (
	HeaderRequestID = "Request-Id"
	HeaderAttemptID = "Attempt-Id"
	HeaderPriority  = "Request-Priority"
	HeaderState     = "Target-State"
	HeaderInFlight  = "Target-In-Flight"
)

// MaxResponseBytes is the maximum size, in bytes, of a response body that is read into memory as a whole.
const MaxResponseBytes = 8 << 20

// loadReportTimeout limits the time to fetch a target's load report.
const loadReportTimeout = time.Second

// maxDetailBytes is the maximum length, in bytes, of the text of an error response that is included in the error.
const maxDetailBytes = 512

// Client sends attempts to targets over HTTP; set the exported fields before the first call.
type Client struct {
	HTTP *http.Client
}

var _ radish.TargetClient = (*Client)(nil)

// NewTransport returns an HTTP transport that keeps enough idle connections for the targets of a data centre.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:         radishdial.ReportResets(new(net.Dialer).DialContext),
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     60 * time.Second,
		DisableCompression:  true,
	}
}

// Do implements radish.TargetClient.
func (c *Client) Do(ctx context.Context, a *radish.Attempt) (*radish.Response, error) {
	body := &deadlineBody{input: bytes.NewReader(a.Input), startDeadline: a.StartDeadline, started: new(atomic.Bool)}
	req, err := newRequest(ctx, a, body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", radish.ErrNotSent, err)
	}
	start := time.Now()
	res, err := c.HTTP.Do(req)
	if err != nil {
		if !body.started.Load() {
			return nil, fmt.Errorf("%w: %w", radish.ErrNotSent, err)
		}
		return nil, fmt.Errorf("%w: %w", radish.ErrTargetFailed, err)
	}
	defer res.Body.Close()
	response := &radish.Response{AttemptID: res.Header.Get(HeaderAttemptID)}
	response.State = radish.TargetState(res.Header.Get(HeaderState))
	response.InFlight, _ = strconv.Atoi(res.Header.Get(HeaderInFlight))
	err = readResponse(res, a, response)
	response.Latency = time.Since(start)
	return response, err
}

// deadlineBody is a request body that fails if reading starts after the start deadline. A target starts an attempt only
// after it received the whole input, so an attempt whose body was never read was not executed.
type deadlineBody struct {
	input         *bytes.Reader
	startDeadline time.Time
	// started is whether the transport has started to read the input; all copies of the body share it.
	started *atomic.Bool
}

// rewind returns a copy of the body that is read from the beginning.
func (b *deadlineBody) rewind() *deadlineBody {
	input := *b.input
	_, _ = input.Seek(0, io.SeekStart)
	return &deadlineBody{input: &input, startDeadline: b.startDeadline, started: b.started}
}

// Read implements io.Reader; it returns an error if nothing was read before the start deadline.
func (b *deadlineBody) Read(p []byte) (int, error) {
	if !b.started.Load() {
		if !b.startDeadline.IsZero() && time.Now().After(b.startDeadline) {
			return 0, radish.ErrLeaseLost
		}
		b.started.Store(true)
	}
	return b.input.Read(p)
}

// Close implements io.Closer.
func (b *deadlineBody) Close() error { return nil }

func newRequest(ctx context.Context, a *radish.Attempt, body *deadlineBody) (*http.Request, error) {
	url := "http://" + a.Target.Address + a.Kind.Path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(a.Input))
	// With GetBody, the transport retries a request of which it wrote no byte, for example on an idle connection that
	// the target had closed. It never retries a POST request after writing a byte.
	req.GetBody = func() (io.ReadCloser, error) { return body.rewind(), nil }
	// The Idempotency-Key header is never forwarded because net/http treats a request that has it as safe to retry.
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, a.RequestID)
	req.Header.Set(HeaderAttemptID, a.ID)
	req.Header.Set(HeaderPriority, strconv.Itoa(a.Priority))
	if a.Sink != nil {
		req.Header.Set("Accept", "text/event-stream")
	}
	return req, nil
}

func readResponse(res *http.Response, a *radish.Attempt, response *radish.Response) error {
	if err := statusError(res.StatusCode); err != nil {
		detail, _ := io.ReadAll(io.LimitReader(res.Body, maxDetailBytes))
		return fmt.Errorf("%w: status %d: %s", err, res.StatusCode, strings.TrimSpace(string(detail)))
	}
	if response.AttemptID != a.ID {
		return fmt.Errorf("%w: got attempt %q, want %q", radish.ErrAttemptMismatch, response.AttemptID, a.ID)
	}
	if a.Sink != nil {
		return readStream(res.Body, a)
	}
	if res.ContentLength < 0 {
		return fmt.Errorf("%w: answer announces no length", radish.ErrTruncated)
	}
	return readBody(res, response)
}

func readBody(res *http.Response, response *radish.Response) error {
	if res.ContentLength > MaxResponseBytes {
		return fmt.Errorf("%w: answer of %d bytes is over %d", radish.ErrTargetFailed, res.ContentLength, MaxResponseBytes)
	}
	response.Body = make([]byte, res.ContentLength)
	n, err := io.ReadFull(res.Body, response.Body)
	return checkLength(int64(n), res.ContentLength, err)
}

func checkLength(got, want int64, err error) error {
	if err != nil {
		return fmt.Errorf("%w: after %d of %d bytes: %w", radish.ErrTruncated, got, want, err)
	}
	if got != want {
		return fmt.Errorf("%w: %d of %d bytes", radish.ErrTruncated, got, want)
	}
	return nil
}

func statusError(status int) error {
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusTooManyRequests:
		return radish.ErrRejected
	case status >= 400 && status < 500:
		return radish.ErrBadRequest
	default:
		return radish.ErrTargetFailed
	}
}

// Load implements radish.TargetClient.
func (c *Client) Load(ctx context.Context, t radish.Target) (radish.LoadReport, error) {
	var report radish.LoadReport
	err := c.getJSON(ctx, t, "/v1/load", &report)
	return report, err
}

// getJSON fetches a JSON report of the target; it returns radish.ErrUnavailable if the target does not return one.
func (c *Client) getJSON(ctx context.Context, t radish.Target, path string, report any) error {
	ctx, cancel := context.WithTimeout(ctx, loadReportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address+path, nil)
	if err != nil {
		return err
	}
	res, err := c.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", radish.ErrUnavailable, err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: %s: status %d", radish.ErrUnavailable, path, res.StatusCode)
	}
	return json.NewDecoder(res.Body).Decode(report)
}

// IsNotExecuted reports whether the error guarantees that no target executed the attempt.
func IsNotExecuted(err error) bool {
	return errors.Is(err, radish.ErrNotSent) || errors.Is(err, radish.ErrRejected) ||
		errors.Is(err, radish.ErrNoTarget) || errors.Is(err, radish.ErrNoCapacity)
}

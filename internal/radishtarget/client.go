package radishtarget

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// Headers between an entry VM and a target.
const (
	HeaderRequestID = "Request-Id"
	HeaderAttemptID = "Attempt-Id"
	HeaderPriority  = "Request-Priority"
	HeaderState     = "Target-State"
	HeaderInFlight  = "Target-In-Flight"
)

// MaxAnswerBytes is the largest answer, in bytes, that is collected in memory.
const MaxAnswerBytes = 8 << 20

// reportTimeout bounds the reading of a report.
const reportTimeout = time.Second

// detailBytes is how much of a refusal's text is kept.
const detailBytes = 512

// Client sends attempts over HTTP; set the exported fields before the first call.
type Client struct {
	HTTP *http.Client
}

var _ radish.TargetClient = (*Client)(nil)

// NewTransport returns a transport that keeps enough idle connections for the targets of a data centre.
func NewTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     60 * time.Second,
		DisableCompression:  true,
	}
}

// Do implements radish.TargetClient.
func (c *Client) Do(ctx context.Context, a *radish.Attempt) (*radish.Response, error) {
	body := &guardedBody{input: bytes.NewReader(a.Input), notAfter: a.StartDeadline, released: new(atomic.Bool)}
	req, err := newRequest(ctx, a, body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", radish.ErrNotSent, err)
	}
	start := time.Now()
	res, err := c.HTTP.Do(req)
	if err != nil {
		if !body.released.Load() {
			return nil, fmt.Errorf("%w: %w", radish.ErrNotSent, err)
		}
		return nil, fmt.Errorf("%w: %w", radish.ErrTargetFailed, err)
	}
	defer res.Body.Close()
	answer := &radish.Response{AttemptID: res.Header.Get(HeaderAttemptID)}
	answer.State = radish.TargetState(res.Header.Get(HeaderState))
	answer.InFlight, _ = strconv.Atoi(res.Header.Get(HeaderInFlight))
	err = readAnswer(res, a, answer)
	answer.Latency = time.Since(start)
	return answer, err
}

// guardedBody hands the input to the transport right before it is written; a target begins only with the whole
// input, so an attempt whose body was never read has not run.
type guardedBody struct {
	input    *bytes.Reader
	notAfter time.Time
	released *atomic.Bool
}

// rewind returns a body that starts again and shares the released mark.
func (b *guardedBody) rewind() *guardedBody {
	input := *b.input
	_, _ = input.Seek(0, io.SeekStart)
	return &guardedBody{input: &input, notAfter: b.notAfter, released: b.released}
}

// Read implements io.Reader; it fails once the time to begin has passed.
func (b *guardedBody) Read(p []byte) (int, error) {
	if !b.released.Load() {
		if !b.notAfter.IsZero() && time.Now().After(b.notAfter) {
			return 0, radish.ErrLeaseLost
		}
		b.released.Store(true)
	}
	return b.input.Read(p)
}

// Close implements io.Closer.
func (b *guardedBody) Close() error { return nil }

func newRequest(ctx context.Context, a *radish.Attempt, body *guardedBody) (*http.Request, error) {
	url := "http://" + a.Target.Address + a.Kind.Path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(a.Input))
	// With GetBody the transport repeats a request of which it wrote nothing, as on a connection that the target
	// had closed while idle; once it wrote a byte it never repeats a POST.
	req.GetBody = func() (io.ReadCloser, error) { return body.rewind(), nil }
	// The Idempotency-Key header is never sent on: net/http would take it as leave to repeat the request.
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, a.RequestID)
	req.Header.Set(HeaderAttemptID, a.ID)
	req.Header.Set(HeaderPriority, strconv.Itoa(a.Priority))
	if a.Sink != nil {
		req.Header.Set("Accept", "text/event-stream")
	}
	return req, nil
}

func readAnswer(res *http.Response, a *radish.Attempt, answer *radish.Response) error {
	if err := statusError(res.StatusCode); err != nil {
		detail, _ := io.ReadAll(io.LimitReader(res.Body, detailBytes))
		return fmt.Errorf("%w: status %d: %s", err, res.StatusCode, strings.TrimSpace(string(detail)))
	}
	if answer.AttemptID != a.ID {
		return fmt.Errorf("%w: got attempt %q, want %q", radish.ErrAttemptMismatch, answer.AttemptID, a.ID)
	}
	if a.Sink != nil {
		return readStream(res.Body, a)
	}
	if res.ContentLength < 0 {
		return fmt.Errorf("%w: answer announces no length", radish.ErrTruncated)
	}
	return collect(res, answer)
}

func collect(res *http.Response, answer *radish.Response) error {
	if res.ContentLength > MaxAnswerBytes {
		return fmt.Errorf("%w: answer of %d bytes is over %d", radish.ErrTargetFailed, res.ContentLength, MaxAnswerBytes)
	}
	answer.Body = make([]byte, res.ContentLength)
	n, err := io.ReadFull(res.Body, answer.Body)
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

// getJSON reads a report of the target; radish.ErrUnavailable when there is none.
func (c *Client) getJSON(ctx context.Context, t radish.Target, path string, report any) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
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

// IsRunKnownNot tells whether the error proves that the target did not run the attempt.
func IsRunKnownNot(err error) bool {
	return errors.Is(err, radish.ErrNotSent) || errors.Is(err, radish.ErrRejected) ||
		errors.Is(err, radish.ErrNoTarget) || errors.Is(err, radish.ErrNoCapacity)
}

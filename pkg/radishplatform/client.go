package radishplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"radishramp.example/radishramp/pkg/radish"
)

// VersionHeader is the response header that carries the version of an object.
const VersionHeader = "Object-Version"

// DefaultTimeout is the time limit of a call, apart from the time that a watch waits for a change.
const DefaultTimeout = 2 * time.Second

// Client is a client of the platform's object API. Set the exported fields before the first call.
type Client struct {
	// BaseURL is the address of the platform, such as "http://10.0.0.1:7000".
	BaseURL string
	// HTTP is the HTTP client to use; nil means [http.DefaultClient].
	HTTP *http.Client
	// Limiter limits the rate of this VM's calls; nil means no limit.
	Limiter *rate.Limiter
	// Timeout is the time limit of a call, apart from the time that a watch waits for a change; 0 means
	// [DefaultTimeout].
	Timeout time.Duration

	calls atomic.Int64
}

var _ radish.Platform = (*Client)(nil)

// Calls returns the number of HTTP requests sent so far; a watch counts as one.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Get implements [radish.Platform].
func (c *Client) Get(ctx context.Context, key string) (radish.Object, error) {
	return c.read(ctx, key, "", 0)
}

// Watch implements [radish.Platform].
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (radish.Object, error) {
	query := fmt.Sprintf("?after=%d&wait_ms=%d", after, wait.Milliseconds())
	return c.read(ctx, key, query, wait)
}

func (c *Client) read(ctx context.Context, key, query string, wait time.Duration) (radish.Object, error) {
	res, err := c.sendRateLimited(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(key)+query, nil, "", wait)
	if err != nil {
		return radish.Object{}, trace.Wrap(radish.ErrUnavailable, "get %s: %v", key, err)
	}
	switch res.status {
	case http.StatusOK:
		return radish.Object{Key: key, Version: res.version, Value: res.body}, nil
	case http.StatusNotFound, http.StatusNotModified:
		return radish.Object{}, radish.ErrNotFound
	default:
		return radish.Object{}, trace.Wrap(radish.ErrUnavailable, "get %s: status %d", key, res.status)
	}
}

// Put implements [radish.Platform].
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	return c.update(ctx, http.MethodPut, key, value, ifVersion)
}

// Delete implements [radish.Platform].
func (c *Client) Delete(ctx context.Context, key string, ifVersion uint64) error {
	_, err := c.update(ctx, http.MethodDelete, key, nil, ifVersion)
	return err
}

func (c *Client) update(ctx context.Context, method, key string, value []byte, ifVersion uint64) (uint64, error) {
	// An update that fails here was not sent. If send fails, it is unknown whether the update was carried out.
	if err := c.waitForRateLimit(ctx); err != nil {
		return 0, trace.Wrap(radish.ErrUnavailable, "%s %s: %v", method, key, err)
	}
	res, err := c.send(ctx, method, "/v1/objects/"+url.PathEscape(key), value, strconv.FormatUint(ifVersion, 10), 0)
	if err != nil {
		return 0, trace.Wrap(radish.ErrAmbiguous, "%s %s: %v", method, key, err)
	}
	switch res.status {
	case http.StatusOK:
		return res.version, nil
	case http.StatusPreconditionFailed:
		return 0, radish.ErrConflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return 0, trace.Wrap(radish.ErrUnavailable, "%s %s: status %d", method, key, res.status)
	default:
		return 0, trace.Wrap(radish.ErrAmbiguous, "%s %s: status %d", method, key, res.status)
	}
}

// List implements [radish.Platform].
func (c *Client) List(ctx context.Context, prefix string) ([]string, error) {
	var keys []string
	err := c.readJSON(ctx, "/v1/keys?prefix="+url.QueryEscape(prefix), &keys)
	return keys, err
}

// VMs implements [radish.Platform].
func (c *Client) VMs(ctx context.Context) ([]radish.VM, error) {
	var vms []radish.VM
	err := c.readJSON(ctx, "/v1/vms", &vms)
	return vms, err
}

func (c *Client) readJSON(ctx context.Context, path string, result any) error {
	res, err := c.sendRateLimited(ctx, http.MethodGet, path, nil, "", 0)
	if err != nil {
		return trace.Wrap(radish.ErrUnavailable, "get %s: %v", path, err)
	}
	if res.status != http.StatusOK {
		return trace.Wrap(radish.ErrUnavailable, "get %s: status %d", path, res.status)
	}
	return trace.Wrap(json.Unmarshal(res.body, result))
}

// maxResponseBytes limits the body of a response; the largest is a list of keys.
const maxResponseBytes = 16 * radish.MaxObjectBytes

var (
	errResponseTooLong = errors.New("response of the platform is too long")
	errInvalidVersion  = errors.New("object version is not a number")
)

type response struct {
	status  int
	version uint64
	body    []byte
}

func (c *Client) waitForRateLimit(ctx context.Context) error {
	if c.Limiter == nil {
		return nil
	}
	return c.Limiter.Wait(ctx)
}

// sendRateLimited waits for the rate limit and then sends the request.
func (c *Client) sendRateLimited(ctx context.Context, method, path string, body []byte, ifMatch string, wait time.Duration) (response, error) {
	if err := c.waitForRateLimit(ctx); err != nil {
		return response{}, err
	}
	return c.send(ctx, method, path, body, ifMatch, wait)
}

// send sends the request without a rate limit and reads the response. wait is how long the platform may wait for a
// change before it answers.
func (c *Client) send(ctx context.Context, method, path string, body []byte, ifMatch string, wait time.Duration) (response, error) {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	if ifMatch != "" {
		req.Header.Set("If-Match", ifMatch)
	}
	c.calls.Add(1)
	res, err := c.httpClient().Do(req)
	if err != nil {
		return response{}, err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err != nil {
		return response{}, err
	}
	if len(data) > maxResponseBytes {
		return response{}, errResponseTooLong
	}
	version, err := parseVersion(res.Header.Get(VersionHeader))
	if err != nil {
		return response{}, err
	}
	return response{status: res.StatusCode, version: version, body: data}, nil
}

// parseVersion parses the version of an object; responses without an object have none, for which it returns 0.
func parseVersion(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %q", errInvalidVersion, text)
	}
	return version, nil
}

func (c *Client) httpClient() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}

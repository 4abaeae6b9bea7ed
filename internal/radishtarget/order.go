package radishtarget

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"radishramp.example/radishramp/pkg/radish"
)

// HeaderFence carries the fencing number of an order.
const HeaderFence = "Order-Fence"

// enginePath is where a target reports its engine and takes orders.
const enginePath = "/v1/engine"

var _ radish.OrderClient = (*Client)(nil)

// Engine implements radish.OrderClient.
func (c *Client) Engine(ctx context.Context, t radish.Target) (radish.EngineReport, error) {
	var report radish.EngineReport
	err := c.getJSON(ctx, t, enginePath, &report)
	return report, err
}

// Order implements radish.OrderClient.
func (c *Client) Order(ctx context.Context, o *radish.Order) error {
	value, err := json.Marshal(o.Engine)
	if err != nil {
		return fmt.Errorf("%w: %w", radish.ErrNotSent, err)
	}
	body := &guardedBody{input: bytes.NewReader(value), notAfter: o.NotAfter, released: new(atomic.Bool)}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+o.Target.Address+enginePath, body)
	if err != nil {
		return fmt.Errorf("%w: %w", radish.ErrNotSent, err)
	}
	req.ContentLength = int64(len(value))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderFence, strconv.FormatUint(o.Fence, 10))
	res, err := c.HTTP.Do(req)
	if err != nil && !body.released.Load() {
		return fmt.Errorf("%w: %w", radish.ErrNotSent, err)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", radish.ErrTargetFailed, err)
	}
	defer res.Body.Close()
	return orderError(res)
}

func orderError(res *http.Response) error {
	if res.StatusCode == http.StatusOK {
		return nil
	}
	err := statusError(res.StatusCode)
	if res.StatusCode == http.StatusConflict {
		err = radish.ErrFenced
	}
	detail, _ := io.ReadAll(io.LimitReader(res.Body, detailBytes))
	return fmt.Errorf("%w: status %d: %s", err, res.StatusCode, strings.TrimSpace(string(detail)))
}

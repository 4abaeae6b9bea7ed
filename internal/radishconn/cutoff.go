package radishconn

import "radishramp.example/radishramp/internal/radishmemory"

// CutOff returns the function by which the account cuts the connection off for the current request. It does nothing once that has ended, since
// the account calls it some time after it has withdrawn the memory.
func (c *Conn) CutOff() func(radishmemory.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := c.requests
	return func(state radishmemory.State) { c.cutOff(request, state) }
}

// cutOff makes pending and later reads of the request fail, and its writes if it was sending: the refusal of a call that was received
// must reach its caller.
func (c *Conn) cutOff(request int, state radishmemory.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if request != c.requests || c.phase != phaseRequest {
		return
	}
	_ = c.Conn.SetReadDeadline(expired)
	if state == radishmemory.Sending {
		_ = c.SetWriteDeadline(expired)
	}
}

// cutOffHead makes the connection close if the head of the request has not arrived whole.
func (c *Conn) cutOffHead(request int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if request == c.requests {
		c.interruptHead(CauseMemory)
	}
}

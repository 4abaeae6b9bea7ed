package radishrelay

import (
	"errors"
	"net/http"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
)

// promptClasses are the classes of prompts by which the versions of an engine are compared, with the number of input tokens up to which
// a prompt belongs to the class. The time that a call takes depends on the size of its prompt.
var promptClasses = []struct {
	name      string
	maxTokens int
}{{"small", 512}, {"medium", 4096}}

// largePrompt is the class of all other prompts.
const largePrompt = "large"

// versionRoute returns the route by which the versions of the call's service are compared, with the size of the prompt at an engine.
func (e *exchange) versionRoute() string {
	if !e.service.IsEngine {
		return e.route.Name
	}
	for _, class := range promptClasses {
		if e.call.InputTokens <= class.maxTokens {
			return e.route.Name + "/" + class.name
		}
	}
	return e.route.Name + "/" + largePrompt
}

// versionResult returns what the attempt says about the target's version. A target that could not be reached, that refused the call as
// not run or whose connection was cut says nothing about it, nor does a caller that left. An attempt whose time was up was slow.
func (e *exchange) versionResult(resp *radish.TargetResponse, err error, o radishfleet.Outcome, took time.Duration) radishfleet.VersionResult {
	r := radishfleet.VersionResult{Route: e.versionRoute(), Calls: 1, Took: took}
	isTimeout := o.Failed && !o.Cut && !o.Unreachable
	switch {
	case errors.Is(err, radish.ErrMalformedResponse) || errors.Is(err, radish.ErrAttemptMismatch):
		r.Failed = 1
	case err != nil:
		r.Inconclusive = !isTimeout
	case resp.NotExecuted || resp.InputsMissing:
		r.Inconclusive = true
	case resp.Status >= http.StatusInternalServerError:
		r.Failed = 1
	default:
		r.Inconclusive = o.Inconclusive || o.Cut || e.outcome == outcomeCallerLeft
	}
	return r
}

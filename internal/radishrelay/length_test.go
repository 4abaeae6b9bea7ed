package radishrelay

import (
	"io"
	"math"
	"net/http"
	"strings"
	"testing"

	"radishramp.example/radishramp/pkg/radish"
)

// TestLargestDeclaredLength guards against a panic after the call has run: a target declares the largest length there is.
func TestLargestDeclaredLength(t *testing.T) {
	e := &exchange{call: &radish.Call{}}
	body, isComplete, err := e.bufferResponse(&radish.TargetResponse{
		Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("body")), ContentLength: math.MaxInt64,
	})
	if string(body) != "body" || !isComplete || err != nil {
		t.Errorf("got %q, %t, %v", body, isComplete, err)
	}
}

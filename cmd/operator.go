package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"radishramp.example/radishramp/internal/radishserve"
)

// operatorTimeout limits the time of a request to one entry VM.
const operatorTimeout = 3 * time.Second

// operatorOptions are the flags of commands that query several entry VMs.
type operatorOptions struct {
	Operator []string `long:"operator" description:"Operator address of an entry VM; can be given multiple times" default:"127.0.0.1:8081" value-name:"HOST:PORT"`
}

// callOperator sends a request with a JSON body to the operator API of an entry VM and decodes the JSON response into
// result.
func callOperator(method, address, path string, body, result any) error {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	payload, err := json.Marshal(body)
	if err != nil {
		return trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(payload))
	if err != nil {
		return trace.Wrap(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(io.LimitReader(res.Body, 1024))
		return trace.Errorf("%s: %s: %s", address, res.Status, strings.TrimSpace(string(detail)))
	}
	return trace.Wrap(json.NewDecoder(res.Body).Decode(result))
}

// rulesStatusCommand prints which generation of the rules is in force on each entry VM.
type rulesStatusCommand struct {
	operatorOptions
}

// Execute implements flags.Commander.
func (c *rulesStatusCommand) Execute([]string) error {
	failed := 0
	for _, address := range c.Operator {
		var status radishserve.Status
		if err := callOperator(http.MethodGet, address, "/v1/status", nil, &status); err != nil {
			failed++
			fmt.Printf("%-22s no response: %v\n", address, err)
			continue
		}
		fmt.Printf("%-22s %-12s %-12s generation %d by %s, ready %t, steward %s\n",
			address, status.VM, status.DataCentre, status.Generation, status.By, status.Ready, status.Steward)
	}
	if failed > 0 {
		return trace.Errorf("%d of %d entry VMs did not respond", failed, len(c.Operator))
	}
	return nil
}

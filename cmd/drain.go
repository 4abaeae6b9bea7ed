package cmd

import (
	"fmt"
	"net/http"

	"radishramp.example/radishramp/internal/radishserve"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

func init() {
	subcommands.Register("drain", subcommand{
		short:   "Drain a data centre or a target immediately, even while the platform is unavailable",
		long:    "Send a drain order directly to one entry VM. The order propagates to the other entry VMs over their peer connections and stays in force until it is lifted.",
		command: &drainCommand{},
	})
	subcommands.Register("undrain", subcommand{
		short: "Lift a drain order", long: "Lift a drain order that was created with the drain subcommand.", command: &undrainCommand{},
	})
}

// drainCommand creates a drain order for a data centre or a target, which then gets no new requests.
type drainCommand struct {
	Operator   string `long:"operator" description:"Operator address of any entry VM" default:"127.0.0.1:8081" value-name:"HOST:PORT"`
	DataCentre string `long:"data-centre" description:"Data centre to drain"`
	Target     string `long:"target" description:"Target to drain"`
	By         string `long:"by" description:"Name of the operator" required:"yes"`
	Comment    string `long:"comment" description:"Who asked for the drain and why" required:"yes"`
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute([]string) error {
	order := radishserve.DrainRequest{DataCentre: c.DataCentre, Target: c.Target, By: c.By, Comment: c.Comment}
	var drain radishpeerpb.LocalDrain
	if err := callOperator(http.MethodPost, c.Operator, "/v1/drains", order, &drain); err != nil {
		return err
	}
	fmt.Printf("drain %s created; lift it with: radishramp undrain %s\n", drain.GetId(), drain.GetId())
	return nil
}

// undrainCommand lifts a drain order.
type undrainCommand struct {
	Operator string `long:"operator" description:"Operator address of any entry VM" default:"127.0.0.1:8081" value-name:"HOST:PORT"`
	Args     struct {
		ID string `positional-arg-name:"ID"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *undrainCommand) Execute([]string) error {
	var drain radishpeerpb.LocalDrain
	if err := callOperator(http.MethodDelete, c.Operator, "/v1/drains/"+c.Args.ID, nil, &drain); err != nil {
		return err
	}
	fmt.Printf("drain %s lifted\n", drain.GetId())
	return nil
}

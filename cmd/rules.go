package cmd

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishconfig"
	"radishramp.example/radishramp/pkg/radishplatform"
	"radishramp.example/radishramp/pkg/radishrule"
)

// rulesTimeout limits the total time of a rules command.
const rulesTimeout = 30 * time.Second

// generationPrefix starts the comment line with the generation of the rules that "rules show" printed.
const generationPrefix = "# generation: "

func init() {
	subcommands.Register("rules", subcommand{
		short: "Check, apply and read the rules", long: "Check, apply and read the rules.",
		command: &struct{}{},
		children: []childCommand{
			{"check", "Check a rules file without applying it", &rulesCheckCommand{}},
			{"apply", "Replace the accepted rules with those of a rules file", &rulesApplyCommand{}},
			{"show", "Print the accepted rules as a rules file", &rulesShowCommand{}},
			{"who", "Show which rules apply to a team's requests and who asked for them", &rulesWhoCommand{}},
			{"status", "Show which generation of the rules is in force on each entry VM", &rulesStatusCommand{}},
		},
	})
}

// platformOptions are the flags of commands that call the platform.
type platformOptions struct {
	Platform string `long:"platform" description:"Address of the platform's object API" default:"http://127.0.0.1:7000" value-name:"URL"`
}

func (o *platformOptions) store() *radishconfig.Store {
	return &radishconfig.Store{Platform: &radishplatform.Client{BaseURL: o.Platform}}
}

// rulesFileArgument is the positional argument of commands that read a rules file.
type rulesFileArgument struct {
	File string `positional-arg-name:"FILE"`
}

// read returns the text of the file and the rules parsed from it.
func (a rulesFileArgument) read() (string, *radishrule.RuleSet, error) {
	text, err := os.ReadFile(a.File)
	if err != nil {
		return "", nil, trace.ConvertSystemError(err)
	}
	set, err := radishrule.Parse(string(text))
	return string(text), set, err
}

// rulesCheckCommand checks whether a rules file is valid.
type rulesCheckCommand struct {
	Args rulesFileArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *rulesCheckCommand) Execute([]string) error {
	_, set, err := c.Args.read()
	if err != nil {
		return err
	}
	fmt.Printf("%d rules are valid\n", len(set.Lines))
	return nil
}

// rulesApplyCommand replaces the accepted rules with those of a file, unless another change was accepted since the
// generation that the file is based on.
type rulesApplyCommand struct {
	platformOptions
	By   string            `long:"by" description:"Name of the operator" required:"yes"`
	Base *uint64           `long:"base" description:"Generation that the file is based on; read from the generation line of the file if not given"`
	Args rulesFileArgument `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *rulesApplyCommand) Execute([]string) error {
	text, set, err := c.Args.read()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), rulesTimeout)
	defer cancel()
	base := generationOf(text)
	if c.Base != nil {
		base = *c.Base
	}
	head, err := c.store().Apply(ctx, radishconfig.Change{Base: base, By: c.By, Lines: set.Lines})
	var conflict *radishconfig.ConflictError
	if errors.As(err, &conflict) {
		return fmt.Errorf("nothing was applied because the file is based on generation %d: %w\n%s", base, err, describeWinner(conflict.Winner))
	}
	if errors.Is(err, radish.ErrAmbiguous) {
		return fmt.Errorf("it is unknown whether the change was accepted; run rules show to check before trying again: %w", err)
	}
	if err != nil {
		return err
	}
	fmt.Printf("generation %d accepted, change %s\n", head.Generation, head.ChangeID)
	return nil
}

// describeWinner returns the rules that the newest change in the head removed and added, in the form of a diff.
func describeWinner(head radishconfig.Head) string {
	if len(head.Recent) == 0 {
		return ""
	}
	var b strings.Builder
	latest := head.Recent[len(head.Recent)-1]
	for _, l := range latest.Removed {
		fmt.Fprintf(&b, "- %s # %s\n", l.Text, l.Comment)
	}
	for _, l := range latest.Added {
		fmt.Fprintf(&b, "+ %s # %s\n", l.Text, l.Comment)
	}
	return b.String()
}

// generationOf returns the generation in the generation line of a rules file, or 0 if the file has none.
func generationOf(text string) uint64 {
	for line := range strings.SplitSeq(text, "\n") {
		if value, ok := strings.CutPrefix(line, generationPrefix); ok {
			generation, _ := strconv.ParseUint(strings.TrimSpace(value), 10, 64)
			return generation
		}
	}
	return 0
}

// rulesShowCommand prints the accepted rules in the form of a rules file.
type rulesShowCommand struct {
	platformOptions
}

// Execute implements flags.Commander.
func (c *rulesShowCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), rulesTimeout)
	defer cancel()
	snapshot, err := c.store().Load(ctx)
	if errors.Is(err, radish.ErrNotFound) {
		return errors.New("no rules have been applied yet")
	}
	if err != nil {
		return err
	}
	fmt.Printf("%s%d\n", generationPrefix, snapshot.Head.Generation)
	for _, l := range snapshot.Lines {
		fmt.Printf("%s # %s\n", l.Text, l.Comment)
	}
	return nil
}

// rulesWhoCommand prints the rules that apply to the requests of a team to a pipeline, with the comments that name who
// requested them.
type rulesWhoCommand struct {
	platformOptions
	Args struct {
		Team     string `positional-arg-name:"TEAM"`
		Pipeline string `positional-arg-name:"PIPELINE"`
	} `positional-args:"yes" required:"yes"`
}

// listingHeaderLines is the number of lines that "rules show" prints before the first rule.
const listingHeaderLines = 1

// Execute implements flags.Commander.
func (c *rulesWhoCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), rulesTimeout)
	defer cancel()
	snapshot, err := c.store().Load(ctx)
	if err != nil {
		return err
	}
	for i := range snapshot.Lines {
		snapshot.Lines[i].Number = i + 1 + listingHeaderLines
	}
	set, err := radishrule.ParseLines(snapshot.Lines)
	if err != nil {
		return err
	}
	if _, ok := set.Teams[c.Args.Team]; !ok {
		return trace.NotFound("no rule defines the team %q", c.Args.Team)
	}
	if _, ok := set.Pipelines[c.Args.Pipeline]; !ok {
		return trace.NotFound("no rule defines the pipeline %q", c.Args.Pipeline)
	}
	fmt.Printf("generation %d, accepted %s, by %s\n", snapshot.Head.Generation, snapshot.Head.At.Format(time.RFC3339), snapshot.Head.By)
	for _, l := range set.Explain(c.Args.Team, c.Args.Pipeline) {
		fmt.Printf("line %d, since %s: %s\n    %s\n", l.Number, l.Since.Format(time.RFC3339), l.Text, l.Comment)
	}
	return nil
}

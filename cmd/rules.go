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

// rulesTimeout bounds a call of the rules commands.
const rulesTimeout = 30 * time.Second

// generationMark starts the comment line that tells which generation a listing shows.
const generationMark = "# generation: "

func init() {
	subcommands.Register("rules", subcommand{
		short: "Check, apply and read the rules", long: "Check, apply and read the rules.",
		command: &struct{}{},
		children: []child{
			{"check", "Check a rules file without applying it", &rulesCheckCommand{}},
			{"apply", "Have a rules file accepted", &rulesApplyCommand{}},
			{"show", "Print the accepted rules as a rules file", &rulesShowCommand{}},
			{"who", "Tell which rules apply to a team's requests and who asked for them", &rulesWhoCommand{}},
			{"status", "Tell which generation each entry VM has in force", &rulesStatusCommand{}},
		},
	})
}

// platformOption is where the platform is.
type platformOption struct {
	Platform string `long:"platform" description:"Address of the platform's object API" default:"http://127.0.0.1:7000" value-name:"URL"`
}

func (o *platformOption) store() *radishconfig.Store {
	return &radishconfig.Store{Platform: &radishplatform.Client{BaseURL: o.Platform}}
}

// fileArgument is a rules file.
type fileArgument struct {
	File string `positional-arg-name:"FILE"`
}

// read returns the file's text and its rules.
func (a fileArgument) read() (string, *radishrule.RuleSet, error) {
	text, err := os.ReadFile(a.File)
	if err != nil {
		return "", nil, trace.ConvertSystemError(err)
	}
	set, err := radishrule.Parse(string(text))
	return string(text), set, err
}

// rulesCheckCommand checks a file.
type rulesCheckCommand struct {
	Args fileArgument `positional-args:"yes" required:"yes"`
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

// rulesApplyCommand has a file accepted.
type rulesApplyCommand struct {
	platformOption
	By   string       `long:"by" description:"Name of the operator" required:"yes"`
	Base *uint64      `long:"base" description:"Generation that the file was made from; read from its generation line when not given"`
	Args fileArgument `positional-args:"yes" required:"yes"`
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
		return fmt.Errorf("nothing was applied, the file was made from generation %d: %w\n%s", base, err, describeWinner(conflict.Winner))
	}
	if errors.Is(err, radish.ErrAmbiguous) {
		return fmt.Errorf("it is not known whether the change was accepted; look for it with rules show before trying again: %w", err)
	}
	if err != nil {
		return err
	}
	fmt.Printf("generation %d accepted, change %s\n", head.Generation, head.ChangeID)
	return nil
}

func describeWinner(head radishconfig.Head) string {
	if len(head.Recent) == 0 {
		return ""
	}
	var b strings.Builder
	last := head.Recent[len(head.Recent)-1]
	for _, l := range last.Removed {
		fmt.Fprintf(&b, "- %s # %s\n", l.Text, l.Comment)
	}
	for _, l := range last.Added {
		fmt.Fprintf(&b, "+ %s # %s\n", l.Text, l.Comment)
	}
	return b.String()
}

// generationOf reads the generation line of a listing; 0 when there is none.
func generationOf(text string) uint64 {
	for line := range strings.SplitSeq(text, "\n") {
		if number, ok := strings.CutPrefix(line, generationMark); ok {
			generation, _ := strconv.ParseUint(strings.TrimSpace(number), 10, 64)
			return generation
		}
	}
	return 0
}

// rulesShowCommand prints the accepted rules.
type rulesShowCommand struct {
	platformOption
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
	fmt.Printf("%s%d\n", generationMark, snapshot.Head.Generation)
	for _, l := range snapshot.Lines {
		fmt.Printf("%s # %s\n", l.Text, l.Comment)
	}
	return nil
}

// rulesWhoCommand answers a caller's question.
type rulesWhoCommand struct {
	platformOption
	Args struct {
		Team     string `positional-arg-name:"TEAM"`
		Pipeline string `positional-arg-name:"PIPELINE"`
	} `positional-args:"yes" required:"yes"`
}

// listingHeaderLines is how many lines rules show prints before the first rule.
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

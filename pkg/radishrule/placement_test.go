package radishrule

import (
	"strings"
	"testing"

	"radishramp.example/radishramp/pkg/radish"
)

const placementRules = `service name=llm # a
service name=encoder # a
pipeline name=report stages=generate/llm deadline=5s # a
placement service=llm target=llm-4 model=writer version=4 # trial
placement service=llm model=writer version=3 adapters=b,a # all
placement service=encoder model=other # not of the pipeline
`

// TestPlacement covers which rule places a target and that a caller's question is answered with it.
func TestPlacement(t *testing.T) {
	rules, err := Parse(placementRules)
	if err != nil {
		t.Fatal(err)
	}
	if own := rules.Placement(radish.Target{Name: "llm-4", Service: "llm"}); own == nil || own.Version != "4" {
		t.Errorf("the target's own line does not go first: %+v", own)
	}
	all := rules.Placement(radish.Target{Name: "llm-1", Service: "llm"})
	if all == nil || all.Engine().Version != "3" || strings.Join(all.Engine().Adapters, ",") != "a,b" {
		t.Errorf("the service's line: %+v", all)
	}
	if none := rules.Placement(radish.Target{Name: "x", Service: "booking"}); none != nil {
		t.Errorf("a service without a line is placed by %+v", none)
	}
	var comments []string
	for _, line := range rules.Explain("", "report") {
		comments = append(comments, line.Comment)
	}
	if got := strings.Join(comments, ","); got != "a,a,all,trial" {
		t.Errorf("explained by %s", got)
	}
}

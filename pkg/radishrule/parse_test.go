package radishrule_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"radishramp.example/radishramp/pkg/radishrule"
)

func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		input := strings.ReplaceAll(d.Input, "TOKEN_A", strings.Repeat("a", 64))
		input = strings.ReplaceAll(input, "TOKEN_B", strings.Repeat("b", 64))
		set, err := radishrule.Parse(input)
		if err != nil {
			if !errors.Is(err, radishrule.ErrInvalid) {
				t.Errorf("error does not wrap ErrInvalid: %v", err)
			}
			return err.Error() + "\n"
		}
		if d.Cmd == "explain" {
			var b strings.Builder
			for _, l := range set.Explain("roads", "work_order") {
				b.WriteString(l.Text + " # " + l.Comment + "\n")
			}
			return b.String()
		}
		return "ok\n"
	})
}

func FuzzParse(f *testing.F) {
	f.Add("service name=llm # asked by operations\npipeline name=p stages=generate/llm deadline=5s # asked")
	f.Add("team name=a token_sha256=" + strings.Repeat("a", 64) + " # x\nlimit team=a requests_per_s=1 # y")
	f.Add("drain data_centre=bandung target=x # z")
	f.Fuzz(func(t *testing.T, text string) {
		set, err := radishrule.Parse(text)
		if (set == nil) == (err == nil) {
			t.Fatalf("set %v, error %v", set, err)
		}
		if err != nil {
			return
		}
		again, err := radishrule.ParseLines(set.Lines)
		if err != nil || len(again.Lines) != len(set.Lines) {
			t.Fatalf("accepted lines are refused when read again: %v", err)
		}
	})
}

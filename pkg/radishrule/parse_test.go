package radishrule_test

import (
	"errors"
	"flag"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"radishramp.example/radishramp/pkg/radishrule"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
}

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
			t.Fatalf("got set %v and error %v, want exactly one of them", set, err)
		}
		if err != nil {
			return
		}
		again, err := radishrule.ParseLines(set.Lines)
		if err != nil || len(again.Lines) != len(set.Lines) {
			t.Fatalf("accepted lines do not parse again to the same number of lines: %v", err)
		}
	})
}

// TestAdvanceEqualsParse applies random changes with Advance and compares the rules with those that ParseLines returns
// for the same lines, so that reused rules do not differ from newly parsed ones.
func TestAdvanceEqualsParse(t *testing.T) {
	pool := radishrule.SplitLines(`
service name=llm # a
service name=llm idempotent=false # b
service name=booking idempotent=false # c
pipeline name=p stages=generate/llm deadline=5s # d
pipeline name=p stages=call/booking deadline=5s # e
team name=t token_sha256=` + strings.Repeat("a", 64) + ` # f
team name=u token_sha256=` + strings.Repeat("a", 64) + ` # g
limit team=t requests_per_s=5 # h
limit team=t pipeline=p requests_per_s=5 # i
priority pipeline=p level=2 # j
retry service=llm budget=0.1 # k
objective pipeline=p attainment=0.99 # l
drain target=x # m
drain data_centre=x # n
drain target=x # o
`)
	advanced := 0
	rapid.Check(t, func(rt *rapid.T) {
		parser := &radishrule.Parser{}
		set, err := parser.Parse(nil)
		if err != nil {
			rt.Fatal(err)
		}
		var lines []radishrule.Line
		for range 12 {
			var removed, added, next []radishrule.Line
			for _, l := range pool {
				present := slices.Contains(lines, l)
				flip := rapid.IntRange(0, 4).Draw(rt, "flip") == 0
				switch {
				case present && flip:
					removed = append(removed, l)
				case !present && flip:
					added = append(added, l)
				}
				if present != flip {
					next = append(next, l)
				}
			}
			want, wantErr := radishrule.ParseLines(next)
			got, gotErr := parser.Advance(set, removed, added, next)
			if (wantErr == nil) != (gotErr == nil) {
				rt.Fatalf("Advance returned error %v, ParseLines returned error %v", gotErr, wantErr)
			}
			if wantErr != nil {
				continue
			}
			advanced++
			lessByLine := func(a, b *radishrule.Drain) bool { return a.Line.Text+a.Line.Comment < b.Line.Text+b.Line.Comment }
			opts := cmp.Options{cmpopts.IgnoreUnexported(radishrule.RuleSet{}), cmpopts.SortSlices(lessByLine), cmpopts.EquateEmpty()}
			if diff := cmp.Diff(want, got, opts); diff != "" {
				rt.Fatalf("rules from Advance differ from those of ParseLines: %s", diff)
			}
			set, lines = got, next
		}
	})
	if advanced == 0 {
		t.Fatal("no random change was valid")
	}
}

package radishexplain

import (
	"strings"
	"testing"
)

const logs = `not a log line
  1.250 vm-2 {"@level":"info","@message":"attempt ended","@timestamp":"2026-01-01T00:00:02.5Z","id":"c1","target":"i-7","verdict":"failed","vm":"vm-2"}
{"@level":"info","@message":"plan ended","@timestamp":"2026-01-01T00:00:02Z","id":"c1","took_ms":700,"vm":"vm-1"}
{"@level":"info","@message":"target gone","@timestamp":"2026-01-01T00:00:03Z","target":"i-7","vm":"vm-2"}
{"@level":"info","@message":"target gone","@timestamp":"2026-01-01T00:01:03Z","target":"i-7","vm":"vm-2"}
{"@level":"info","@message":"target gone","@timestamp":"2026-01-01T00:00:03Z","target":"i-8","vm":"vm-2"}
{"@level":"info","@message":"target gone","@timestamp":"2026-01-01T00:00:03Z","target":"i-7","vm":"vm-3"}
{"@level":"info","@message":"attempt ended","@timestamp":"2026-01-01T00:00:02.6Z","id":"c2","target":"i-7","vm":"vm-2"}
{"@message":"cut`

func TestFindReturnsLinesOfAllVMs(t *testing.T) {
	lines, skipped, err := Read(strings.NewReader(logs))
	if err != nil || skipped != 2 {
		t.Fatalf("got %d skipped lines and error %v, want 2 and no error", skipped, err)
	}
	var out strings.Builder
	if err := Print(&out, Find(lines, "c1")); err != nil {
		t.Fatal(err)
	}
	want := `   +0.000 s  vm-1                     plan ended took_ms=700
   +0.500 s  vm-2                     attempt ended target="i-7" verdict="failed"
   +1.000 s  vm-2                     target gone target="i-7"
`
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
	if found := Find(lines, "c9"); found != nil {
		t.Errorf("got %v for an unknown call, want nil", found)
	}
}

package radishserve

import (
	"bytes"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"radishramp.example/radishramp/internal/radishexplain"
	"radishramp.example/radishramp/pkg/radish"
)

// logBuffer collects log lines of several goroutines.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) lines(t *testing.T) []radishexplain.Line {
	b.mu.Lock()
	defer b.mu.Unlock()
	lines, _, err := radishexplain.Read(bytes.NewReader(b.buf.Bytes()))
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

func messagesOf(lines []radishexplain.Line, id string) []string {
	var messages []string
	for _, l := range lines {
		if id == "" || l.Fields["id"] == id {
			messages = append(messages, l.Message)
		}
	}
	return messages
}

// TestLogLeadsFromIDToCause sends an answered request, a refused one and one in an outage of the platform, and finds in
// the log what was decided on each, with what it was decided from, and what was believed of targets and platform.
func TestLogLeadsFromIDToCause(t *testing.T) {
	var answered, refused answer
	var lines []radishexplain.Line
	fault := inBubble(t, func(t *testing.T) string {
		c := newCluster(t, "bandung")
		defer c.close()
		c.startLog()
		time.Sleep(settlingTime)
		answered = c.send(c.vms[0], "digest", "")
		refused = c.sendAs("nobody's", c.vms[0], "digest", "")
		c.platform.SetVM(radish.VM{Name: "llm-bandung-0", Address: "llm-bandung-0", DataCentre: "bandung", Service: "llm", State: radish.VMLeaving})
		c.platform.SetVM(radish.VM{Name: "llm-bandung-1", Address: "llm-bandung-1", DataCentre: "bandung", Service: "llm", State: radish.VMLeaving})
		time.Sleep(settlingTime)
		for _, v := range c.vms {
			v.view.SetCut(true)
		}
		time.Sleep(settlingTime)
		for _, v := range c.vms {
			v.view.SetCut(false)
		}
		time.Sleep(settlingTime)
		lines = c.log.lines(t)
		return ""
	})
	if fault != "" {
		t.Fatal(fault)
	}
	if got := messagesOf(lines, answered.id); !slices.Equal(got, []string{"attempt ended", "attempt ended", "request ended"}) {
		t.Errorf("lines of the answered request: %v", got)
	}
	if got := messagesOf(lines, refused.id); !slices.Equal(got, []string{"request ended"}) {
		t.Errorf("lines of the refused request: %v", got)
	}
	for _, l := range lines {
		if l.Fields["id"] == refused.id && (l.Fields["outcome"] != "bad_token" || fmt.Sprint(l.Fields["generation"]) != "1") {
			t.Errorf("the refusal's line: %v", l.Fields)
		}
	}
	all := messagesOf(lines, "")
	for _, want := range []string{"target leaves", "platform lost", "platform regained", "peer linked"} {
		if !slices.Contains(all, want) {
			t.Errorf("no line says %q", want)
		}
	}
}

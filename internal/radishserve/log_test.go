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

// logBuffer collects log output and is safe for concurrent use.
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

// messagesOf returns the messages of the lines with the request ID, or of all lines if id is "".
func messagesOf(lines []radishexplain.Line, id string) []string {
	var messages []string
	for _, l := range lines {
		if id == "" || l.Fields["id"] == id {
			messages = append(messages, l.Message)
		}
	}
	return messages
}

// TestLogExplainsRequestsByID sends a request that succeeds and one that is refused, lets targets leave and makes the
// platform unreachable for a while. The log must contain the attempts and the outcome of each request under its ID,
// with the generation of the configuration that was in force, and the changes of the targets' and the platform's state.
func TestLogExplainsRequestsByID(t *testing.T) {
	var succeeded, refused response
	var lines []radishexplain.Line
	failure := inBubble(t, func(t *testing.T) string {
		c := newCluster(t, "bandung")
		defer c.close()
		c.startLog()
		time.Sleep(settlingTime)
		succeeded = c.send(c.vms[0], "digest", "")
		refused = c.sendAs("unknown-token", c.vms[0], "digest", "")
		c.platform.SetVM(radish.VM{Name: "llm-bandung-0", Address: "llm-bandung-0", DataCentre: "bandung", Service: "llm", State: radish.VMLeaving})
		c.platform.SetVM(radish.VM{Name: "llm-bandung-1", Address: "llm-bandung-1", DataCentre: "bandung", Service: "llm", State: radish.VMLeaving})
		time.Sleep(settlingTime)
		for _, v := range c.vms {
			v.view.SetDisconnected(true)
		}
		time.Sleep(settlingTime)
		for _, v := range c.vms {
			v.view.SetDisconnected(false)
		}
		time.Sleep(settlingTime)
		lines = c.log.lines(t)
		return ""
	})
	if failure != "" {
		t.Fatal(failure)
	}
	if got := messagesOf(lines, succeeded.id); !slices.Equal(got, []string{"attempt ended", "attempt ended", "request ended"}) {
		t.Errorf("log messages of the successful request: %v", got)
	}
	if got := messagesOf(lines, refused.id); !slices.Equal(got, []string{"request ended"}) {
		t.Errorf("log messages of the refused request: %v", got)
	}
	for _, l := range lines {
		if l.Fields["id"] == refused.id && (l.Fields["outcome"] != "bad_token" || fmt.Sprint(l.Fields["generation"]) != "1") {
			t.Errorf("log line of the refused request: %v", l.Fields)
		}
	}
	all := messagesOf(lines, "")
	for _, want := range []string{"target leaves", "platform lost", "platform regained", "peer linked"} {
		if !slices.Contains(all, want) {
			t.Errorf("no log line has the message %q", want)
		}
	}
}

package radishexplain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// maxLineBytes is the maximum size of a log line.
	maxLineBytes = 1 << 20
	// targetWindow is how long before and after the call lines about its targets are included.
	targetWindow = 5 * time.Second
)

// Names of fields of log lines.
const (
	fieldTime    = "@timestamp"
	fieldMessage = "@message"
	fieldLevel   = "@level"
	fieldModule  = "@module"
	fieldVM      = "vm"
	fieldID      = "id"
	fieldTarget  = "target"
)

// Line is a parsed log line.
type Line struct {
	Time    time.Time
	VM      string
	Message string
	Fields  map[string]any
}

// Read returns the log lines of r and the number of lines that it skipped because they are not log lines. It ignores
// text in front of the JSON object of a line, which log collectors add.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}

// parseLine parses a log line and reports whether it is a JSON object with a valid time.
func parseLine(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(text[start:], &fields) != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, stringOf(fields[fieldTime]))
	if err != nil {
		return Line{}, false
	}
	return Line{Time: at, VM: stringOf(fields[fieldVM]), Message: stringOf(fields[fieldMessage]), Fields: fields}, true
}

// stringOf returns v if it is a string, and otherwise an empty string.
func stringOf(v any) string {
	s, _ := v.(string)
	return s
}

// Find returns in chronological order the lines with the id of the call and, from the same VMs and around the time of
// the call, the lines without an id about targets of the call. The latter show state changes of the targets.
func Find(lines []Line, id string) []Line {
	var found []Line
	targets, vms := make(map[string]bool), make(map[string]bool)
	for _, l := range lines {
		if stringOf(l.Fields[fieldID]) == id {
			found = append(found, l)
			targets[stringOf(l.Fields[fieldTarget])] = true
			vms[l.VM] = true
		}
	}
	delete(targets, "")
	if len(found) == 0 {
		return nil
	}
	first, last := timeRange(found)
	for _, l := range lines {
		_, hasID := l.Fields[fieldID]
		isInWindow := l.Time.After(first.Add(-targetWindow)) && l.Time.Before(last.Add(targetWindow))
		if !hasID && isInWindow && vms[l.VM] && targets[stringOf(l.Fields[fieldTarget])] {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), strings.Compare(a.VM, b.VM)) })
	return found
}

// timeRange returns the times of the earliest and the latest line.
func timeRange(lines []Line) (first, last time.Time) {
	first, last = lines[0].Time, lines[0].Time
	for _, l := range lines {
		if l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	return first, last
}

// Print writes the lines, each with the time elapsed since the first one.
func Print(w io.Writer, lines []Line) error {
	if len(lines) == 0 {
		return nil
	}
	for _, l := range lines {
		_, err := fmt.Fprintf(w, "%+9.3f s  %-24s %s%s\n", l.Time.Sub(lines[0].Time).Seconds(), l.VM, l.Message, formatFields(l.Fields))
		if err != nil {
			return err
		}
	}
	return nil
}

// formatFields returns the fields that are specific to a message as name=value pairs in alphabetical order. Fields with
// an empty string are omitted.
func formatFields(fields map[string]any) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		if !slices.Contains([]string{fieldTime, fieldMessage, fieldLevel, fieldModule, fieldVM, fieldID}, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var text strings.Builder
	for _, name := range names {
		value, err := json.Marshal(fields[name])
		if err != nil || string(value) == `""` {
			continue
		}
		fmt.Fprintf(&text, " %s=%s", name, value)
	}
	return text.String()
}

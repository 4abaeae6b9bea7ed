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
	// maxLine bounds a log line, in bytes.
	maxLine = 1 << 20
	// around is how long before and after the call lines on its targets are shown.
	around = 5 * time.Second
)

// Names of the fields that every log line has.
const (
	fieldTime    = "@timestamp"
	fieldMessage = "@message"
	fieldLevel   = "@level"
	fieldModule  = "@module"
	fieldVM      = "vm"
	fieldID      = "id"
	fieldTarget  = "target"
)

// Line is one log line.
type Line struct {
	Time    time.Time
	VM      string
	Message string
	Fields  map[string]any
}

// Read returns the log lines of r; what stands before a line's JSON, as a collector adds it, is left out, and lines
// that are no JSON are counted.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}

func parse(text []byte) (Line, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if json.Unmarshal(text[begin:], &fields) != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, stringOf(fields[fieldTime]))
	if err != nil {
		return Line{}, false
	}
	return Line{Time: at, VM: stringOf(fields[fieldVM]), Message: stringOf(fields[fieldMessage]), Fields: fields}, true
}

func stringOf(v any) string {
	s, _ := v.(string)
	return s
}

// Find returns the lines that name the call, and those around it by which the VMs that it met changed what they believed
// of its targets, in the order of time.
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
	first, last := span(found)
	for _, l := range lines {
		_, hasID := l.Fields[fieldID]
		isNear := l.Time.After(first.Add(-around)) && l.Time.Before(last.Add(around))
		if !hasID && isNear && vms[l.VM] && targets[stringOf(l.Fields[fieldTarget])] {
			found = append(found, l)
		}
	}
	slices.SortStableFunc(found, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), strings.Compare(a.VM, b.VM)) })
	return found
}

func span(lines []Line) (first, last time.Time) {
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

// Print writes the lines, each with its time since the first one.
func Print(w io.Writer, lines []Line) error {
	if len(lines) == 0 {
		return nil
	}
	for _, l := range lines {
		_, err := fmt.Fprintf(w, "%+9.3f s  %-24s %s%s\n", l.Time.Sub(lines[0].Time).Seconds(), l.VM, l.Message, details(l.Fields))
		if err != nil {
			return err
		}
	}
	return nil
}

// details renders the fields that say what decided the line, in the order of their names.
func details(fields map[string]any) string {
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

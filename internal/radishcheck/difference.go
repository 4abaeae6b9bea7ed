package radishcheck

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Change is what happened to a field or an entry.
type Change string

// Changes.
const (
	ChangeAdded   Change = "added"
	ChangeRemoved Change = "removed"
	ChangeChanged Change = "changed"
)

// Difference is a field or entry that differs from the configuration in force. Entries are identified by their names.
type Difference struct {
	Path   string `json:"path"`
	Change Change `json:"change"`
	// Old and New are the values of a field; nil for entries, missing fields and secret values.
	Old any `json:"old,omitempty"`
	New any `json:"new,omitempty"`
}

// String returns the difference with the values, if they are known.
func (d Difference) String() string {
	if d.Old == nil && d.New == nil {
		return fmt.Sprintf("%s: %s", d.Path, d.Change)
	}
	return fmt.Sprintf("%s: %s: %s -> %s", d.Path, d.Change, jsonText(d.Old), jsonText(d.New))
}

// jsonText returns the JSON text of the value, or "none".
func jsonText(value any) string {
	if value == nil {
		return "none"
	}
	text, _ := json.Marshal(value)
	return string(text)
}

// comparer collects the differences between two JSON values.
type comparer struct {
	format      Format
	differences []Difference
}

// differences returns what differs between two configurations.
func differences(format Format, oldDoc, newDoc *document) ([]Difference, error) {
	var oldValue, newValue any
	if err := json.Unmarshal(oldDoc.standard(), &oldValue); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(newDoc.standard(), &newValue); err != nil {
		return nil, err
	}
	c := &comparer{format: format, differences: []Difference{}}
	c.compare("", oldValue, newValue)
	return c.differences, nil
}

func (c *comparer) compare(path string, oldValue, newValue any) {
	if reflect.DeepEqual(oldValue, newValue) {
		return
	}
	oldFields, oldOK := oldValue.(map[string]any)
	newFields, newOK := newValue.(map[string]any)
	if oldOK && newOK {
		c.compareFields(oldFields, newFields, func(name string) string { return strings.TrimPrefix(path+"."+name, ".") })
		return
	}
	oldEntries, oldOK := c.entriesByName(oldValue)
	newEntries, newOK := c.entriesByName(newValue)
	if oldOK && newOK {
		c.compareFields(oldEntries, newEntries, func(name string) string { return fmt.Sprintf("%s[%q]", path, name) })
		return
	}
	c.add(path, ChangeChanged, oldValue, newValue)
}

func (c *comparer) compareFields(oldFields, newFields map[string]any, pathOf func(name string) string) {
	names := maps.Clone(oldFields)
	maps.Copy(names, newFields)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		oldValue, isOld := oldFields[name]
		newValue, isNew := newFields[name]
		switch {
		case !isOld:
			c.add(pathOf(name), ChangeAdded, nil, newValue)
		case !isNew:
			c.add(pathOf(name), ChangeRemoved, oldValue, nil)
		default:
			c.compare(pathOf(name), oldValue, newValue)
		}
	}
}

func (c *comparer) add(path string, change Change, oldValue, newValue any) {
	d := Difference{Path: path, Change: change}
	if !c.format.IsSecret(path) {
		d.Old, d.New = simpleValue(oldValue), simpleValue(newValue)
	}
	c.differences = append(c.differences, d)
}

// simpleValue returns the value unless it contains fields, which may be secret.
func simpleValue(value any) any {
	switch value := value.(type) {
	case map[string]any:
		return nil
	case []any:
		if slices.ContainsFunc(value, func(v any) bool { return simpleValue(v) == nil }) {
			return nil
		}
	}
	return value
}

// entriesByName returns the entries of a list by their names; ok is false if they have no names or not different ones.
func (c *comparer) entriesByName(value any) (entries map[string]any, ok bool) {
	list, ok := value.([]any)
	entries = make(map[string]any)
	for _, entry := range list {
		fields, _ := entry.(map[string]any)
		name, isNamed := fields[c.format.FieldPath("name")].(string)
		if _, isTaken := entries[name]; !isNamed || isTaken {
			return nil, false
		}
		entries[name] = entry
	}
	return entries, ok
}

package radishcheck

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"radishramp.example/radishramp/pkg/radishroute"
)

const (
	// maxTypeErrors bounds the values of a wrong type that are reported at once.
	maxTypeErrors = 100
	// maxValueBytes is the size up to which values are part of a finding.
	maxValueBytes = 60
)

// document is the text of a configuration with its syntax tree.
type document struct {
	text []byte
	tree hujson.Value
}

// standard returns the text without comments; offsets and lines stay the same.
func (d *document) standard() []byte {
	plain := d.tree.Clone()
	plain.Standardize()
	return plain.Pack()
}

func (d *document) hasComments() bool { return !bytes.Equal(d.text, d.standard()) }

// decode decodes the document and returns the errors, in which case the source is nil. After a value of a wrong type it
// continues without that value, so that all of them are reported.
func (d *document) decode(format Format) (*radishroute.Source, []Finding) {
	var errs []Finding
	text := d.standard()
	for range maxTypeErrors {
		source, err := format.Decode(text)
		if err == nil && len(errs) == 0 {
			return source, nil
		}
		if err == nil {
			return nil, errs
		}
		var typeErr *json.UnmarshalTypeError
		if !errors.As(err, &typeErr) {
			return nil, append(errs, decodeFinding(err))
		}
		tree, parseErr := hujson.Parse(text)
		if parseErr != nil {
			return nil, append(errs, failure("", "%v", parseErr))
		}
		value, path := valueAt(&tree, int(typeErr.Offset), "")
		errs = append(errs, failure(path, "got %s, want %s", firstWord(typeErr.Value), kindName(typeErr.Type)))
		if path == "" {
			return nil, errs
		}
		value.Value = hujson.Literal("null")
		text = tree.Pack()
	}
	return nil, errs
}

// decodeFinding returns the finding for an error of the decoder that is not about a type.
func decodeFinding(err error) Finding {
	var fieldErr *radishroute.FieldError
	if errors.As(err, &fieldErr) {
		return failure(fieldErr.Path, "%v", err)
	}
	return failure("", "%v", err)
}

// valueAt returns the innermost value that contains the byte before the offset, and its path.
func valueAt(v *hujson.Value, offset int, path string) (*hujson.Value, string) {
	contains := func(child *hujson.Value) bool { return child.StartOffset < offset && offset <= child.EndOffset }
	switch value := v.Value.(type) {
	case *hujson.Object:
		for i := range value.Members {
			member := &value.Members[i]
			if contains(&member.Value) {
				name := member.Name.Value.(hujson.Literal).String()
				return valueAt(&member.Value, offset, strings.TrimPrefix(path+"."+name, "."))
			}
		}
	case *hujson.Array:
		for i := range value.Elements {
			if contains(&value.Elements[i]) {
				return valueAt(&value.Elements[i], offset, fmt.Sprintf("%s[%d]", path, i))
			}
		}
	}
	return v, path
}

// firstWord removes the number from the decoder's names of values, such as "number 1.5".
func firstWord(text string) string {
	word, _, _ := strings.Cut(text, " ")
	return word
}

// kindName returns the JSON name of the values that the type holds.
func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "bool"
	case reflect.Slice:
		return "array"
	case reflect.Float64:
		return "number"
	case reflect.Int, reflect.Int64:
		return "whole number within 64 bits"
	default:
		return "object"
	}
}

// locate returns the finding with the line and the value of its field, or the line of the nearest object around it if
// the field is missing.
func (d *document) locate(format Format, f Finding) Finding {
	pointer := pointerOf(f.Path)
	value := d.tree.Find(pointer)
	if value != nil && f.Path != "" && !format.IsSecret(f.Path) {
		if literal, ok := value.Value.(hujson.Literal); ok && len(literal) <= maxValueBytes {
			f.Value = string(literal)
		}
	}
	for value == nil && pointer != "" {
		pointer = pointer[:strings.LastIndex(pointer, "/")]
		value = d.tree.Find(pointer)
	}
	if value != nil {
		f.Line = 1 + bytes.Count(d.text[:value.StartOffset], []byte("\n"))
	}
	return f
}

var pointerReplacer = strings.NewReplacer(".", "/", "[", "/", "]", "")

// pointerOf returns the JSON pointer for a path such as "routes[0].name".
func pointerOf(path string) string {
	if path == "" {
		return ""
	}
	return "/" + pointerReplacer.Replace(path)
}

var syntaxErrorLine = regexp.MustCompile(`line (\d+)`)

// lineOfSyntaxError returns the line that the error of the parser names, or 0.
func lineOfSyntaxError(err error) int {
	match := syntaxErrorLine.FindStringSubmatch(err.Error())
	if match == nil {
		return 0
	}
	line, _ := strconv.Atoi(match[1])
	return line
}

// repeatedFields returns a warning for each field that an object has more than once. Like the decoder, it ignores case.
func repeatedFields(v *hujson.Value, path string) []Finding {
	var findings []Finding
	switch value := v.Value.(type) {
	case *hujson.Object:
		seen := make(map[string]bool)
		for i := range value.Members {
			name := value.Members[i].Name.Value.(hujson.Literal).String()
			fieldPath := strings.TrimPrefix(path+"."+name, ".")
			if seen[strings.ToLower(name)] {
				findings = append(findings, warning(fieldPath, "field is set more than once; VMs may mix the values"))
			}
			seen[strings.ToLower(name)] = true
			findings = append(findings, repeatedFields(&value.Members[i].Value, fieldPath)...)
		}
	case *hujson.Array:
		for i := range value.Elements {
			findings = append(findings, repeatedFields(&value.Elements[i], fmt.Sprintf("%s[%d]", path, i))...)
		}
	}
	return findings
}

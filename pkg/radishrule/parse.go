package radishrule

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/go-viper/mapstructure/v2"
)

// ErrInvalid is wrapped by every error that Parse returns.
var ErrInvalid = errors.New("rules are invalid")

// LineError is what is wrong with one line.
type LineError struct {
	Line int
	Text string
	Err  error
}

// Error returns the line number and the fault.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns ErrInvalid and the cause.
func (e *LineError) Unwrap() []error { return []error{ErrInvalid, e.Err} }

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("rule") })
	return v
}

// Parse reads a rules file and returns the checked set, or every fault at once joined with errors.Join.
func Parse(text string) (*RuleSet, error) {
	return ParseLines(SplitLines(text))
}

// SplitLines returns the rules of a file with their line numbers; blank lines and lines of comment only are left out.
func SplitLines(text string) []Line {
	var lines []Line
	for i, raw := range strings.Split(text, "\n") {
		trimmed := strings.TrimSpace(raw)
		if trimmed == "" || strings.HasPrefix(trimmed, "#") {
			continue
		}
		lines = append(lines, splitComment(i+1, trimmed))
	}
	return lines
}

func splitComment(number int, text string) Line {
	rule, comment, _ := strings.Cut(text, "#")
	return Line{Number: number, Text: strings.TrimSpace(rule), Comment: strings.TrimSpace(comment)}
}

// parsedRule is a line together with its finished rule.
type parsedRule struct {
	kind Kind
	rule any
	line Line
}

// lineKey is what tells one line from another, whatever its number.
type lineKey struct {
	text    string
	comment string
}

// forgetSlack is how many lines that are no longer in use a parser remembers at least.
const forgetSlack = 1024

// Parser reads successive sets of lines and decodes only the lines that it has not met before;
// the zero value is ready, and it is not safe for concurrent use.
type Parser struct {
	known map[lineKey]parsedRule
}

// ParseLines checks lines that are already split, as stored in the platform.
func ParseLines(lines []Line) (*RuleSet, error) {
	return new(Parser).Parse(lines)
}

// Parse returns the checked set of the lines, or every fault at once.
func (p *Parser) Parse(lines []Line) (*RuleSet, error) {
	set := newRuleSet(len(lines))
	set.Lines = lines
	p.forgetOld(len(lines))
	if err := p.addAll(set, lines); err != nil {
		return nil, err
	}
	return set, nil
}

// Advance returns the checked set of the lines that result from taking some out of before and putting others in. It
// costs far less than Parse: the rest of the rules is carried over, and before stays as it is.
func (p *Parser) Advance(before *RuleSet, removed, added, lines []Line) (*RuleSet, error) {
	set := before.clone()
	set.Lines = lines
	p.forgetOld(len(lines))
	for _, line := range removed {
		parsed, err := p.parseLine(line)
		if err != nil {
			return nil, err
		}
		parsed.kind.Remove(set, parsed.rule)
		set.referring = slices.DeleteFunc(set.referring, func(r parsedRule) bool { return r.line.isSame(line) })
		delete(p.known, lineKey{line.Text, line.Comment})
	}
	if err := p.addAll(set, added); err != nil {
		return nil, err
	}
	return set, nil
}

// addAll puts the lines into the set and then checks the references of all its rules.
func (p *Parser) addAll(set *RuleSet, lines []Line) error {
	var faults []error
	for _, line := range lines {
		parsed, err := p.parseLine(line)
		if err == nil {
			err = parsed.kind.Add(set, parsed.rule)
		}
		if err != nil {
			faults = append(faults, &LineError{Line: line.Number, Text: line.Text, Err: err})
			continue
		}
		if parsed.kind.Check != nil {
			set.referring = append(set.referring, parsed)
		}
	}
	faults = append(faults, checkReferences(set)...)
	if len(faults) > 0 {
		return joinByLine(faults)
	}
	return nil
}

// forgetOld drops what is known of earlier lines once it outgrows what is in use.
func (p *Parser) forgetOld(lines int) {
	if p.known == nil || len(p.known) > 2*lines+forgetSlack {
		p.known = make(map[lineKey]parsedRule, lines)
	}
}

func checkReferences(set *RuleSet) []error {
	var faults []error
	for _, p := range set.referring {
		if err := p.kind.Check(set, p.rule); err != nil {
			faults = append(faults, &LineError{Line: p.line.Number, Text: p.line.Text, Err: err})
		}
	}
	return faults
}

func joinByLine(faults []error) error {
	slices.SortStableFunc(faults, func(a, b error) int {
		return lineNumber(a) - lineNumber(b)
	})
	return errors.Join(faults...)
}

func lineNumber(err error) int {
	var fault *LineError
	if errors.As(err, &fault) {
		return fault.Line
	}
	return 0
}

func (p *Parser) parseLine(line Line) (parsedRule, error) {
	if known, ok := p.known[lineKey{line.Text, line.Comment}]; ok {
		return known, nil
	}
	if line.Comment == "" {
		return parsedRule{}, errors.New("comment is missing: end the line with # and who asked for the rule")
	}
	words := strings.Fields(line.Text)
	if len(words) == 0 {
		return parsedRule{}, errors.New("rule is missing before the comment")
	}
	kind, known := Kinds.Lookup(words[0])
	if !known {
		return parsedRule{}, fmt.Errorf("unknown rule kind %q (allowed: %s)", words[0], strings.Join(Kinds.Names(), ", "))
	}
	fields, err := splitFields(words[1:])
	if err != nil {
		return parsedRule{}, err
	}
	rule := kind.New()
	if err := decodeFields(fields, rule); err != nil {
		return parsedRule{}, err
	}
	if err := kind.Finish(rule, line); err != nil {
		return parsedRule{}, err
	}
	parsed := parsedRule{kind: kind, rule: rule, line: line}
	p.known[lineKey{line.Text, line.Comment}] = parsed
	return parsed, nil
}

func splitFields(words []string) (map[string]string, error) {
	fields := make(map[string]string, len(words))
	for _, word := range words {
		name, value, found := strings.Cut(word, "=")
		if !found || name == "" || value == "" {
			return nil, fmt.Errorf("%q is not of the form field=value", word)
		}
		if _, taken := fields[name]; taken {
			return nil, fmt.Errorf("field %s: given twice", name)
		}
		fields[name] = value
	}
	return fields, nil
}

func decodeFields(fields map[string]string, rule any) error {
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		TagName:          "rule",
		ErrorUnused:      true,
		WeaklyTypedInput: true,
		MatchName:        func(key, field string) bool { return key == field },
		DecodeHook: mapstructure.ComposeDecodeHookFunc(
			mapstructure.StringToTimeDurationHookFunc(),
			mapstructure.StringToSliceHookFunc(","),
		),
		Result: rule,
	})
	if err != nil {
		return err
	}
	if err := decoder.Decode(fields); err != nil {
		return fmt.Errorf("%s (allowed fields: %s)", decodeFault(err), strings.Join(fieldNames(rule), ", "))
	}
	if err := validate.Struct(rule); err != nil {
		return rangeError(err)
	}
	return nil
}

// decodeFault returns the decoder's error as one line without its heading.
func decodeFault(err error) string {
	text := strings.Join(strings.Fields(err.Error()), " ")
	return strings.TrimPrefix(text, "decoding failed due to the following error(s): ")
}

func fieldNames(rule any) []string {
	t := reflect.TypeOf(rule).Elem()
	var names []string
	for i := range t.NumField() {
		if tag := t.Field(i).Tag.Get("rule"); tag != "-" {
			names = append(names, tag)
		}
	}
	return names
}

func rangeError(err error) error {
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) {
		return err
	}
	parts := make([]string, len(faults))
	for i, f := range faults {
		parts[i] = fmt.Sprintf("field %s: value %v is not allowed (must be %s)", f.Field(), f.Value(), describe(f))
	}
	return errors.New(strings.Join(parts, "; "))
}

func describe(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "given"
	case "min":
		return "at least " + f.Param()
	case "max":
		return "at most " + f.Param()
	case "gt":
		return "above " + f.Param()
	case "lt":
		return "below " + f.Param()
	case "required_without":
		return "given when the other is not"
	case "excluded_with":
		return "absent when " + strings.ToLower(f.Param()) + " is given"
	default:
		return strings.TrimSpace(f.Tag() + " " + f.Param())
	}
}

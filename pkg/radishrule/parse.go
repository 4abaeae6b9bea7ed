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

// ErrInvalid is wrapped by all errors that Parse returns.
var ErrInvalid = errors.New("rules are invalid")

// LineError is an error in one line of the rules.
type LineError struct {
	Line int
	Text string
	Err  error
}

// Error returns the line number and the cause.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns ErrInvalid and the cause.
func (e *LineError) Unwrap() []error { return []error{ErrInvalid, e.Err} }

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("rule") })
	return v
}

// Parse parses a rules file and returns the validated rules, or the errors of all lines joined with errors.Join.
func Parse(text string) (*RuleSet, error) {
	return ParseLines(SplitLines(text))
}

// SplitLines returns the lines of a rules file that contain a rule, with their line numbers. It skips blank lines and
// lines with only a comment.
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

// parsedRule is a finished rule with its kind and line.
type parsedRule struct {
	kind Kind
	rule any
	line Line
}

// lineKey identifies a line regardless of its number and time.
type lineKey struct {
	text    string
	comment string
}

// cacheSlack is the number of cached lines, beyond twice the current ones, above which a parser discards its cache.
const cacheSlack = 1024

// Parser parses successive versions of the rules. It caches parsed lines, so that it decodes only new ones. The zero
// value is ready to use. A Parser is not safe for concurrent use.
type Parser struct {
	cache map[lineKey]parsedRule
}

// ParseLines is like Parse for lines that are already split, as they are stored in the platform.
func ParseLines(lines []Line) (*RuleSet, error) {
	return new(Parser).Parse(lines)
}

// Parse returns the validated rules of the lines, or the errors of all lines joined with errors.Join.
func (p *Parser) Parse(lines []Line) (*RuleSet, error) {
	set := newRuleSet(len(lines))
	set.Lines = lines
	p.limitCache(len(lines))
	if err := p.addAll(set, lines); err != nil {
		return nil, err
	}
	return set, nil
}

// Advance returns the validated rules after removing some lines from before and adding others; lines holds all lines
// after the change. It costs far less than Parse, because it reuses the unchanged rules. It does not modify before.
func (p *Parser) Advance(before *RuleSet, removed, added, lines []Line) (*RuleSet, error) {
	set := before.clone()
	set.Lines = lines
	p.limitCache(len(lines))
	for _, line := range removed {
		parsed, err := p.parseLine(line)
		if err != nil {
			return nil, err
		}
		parsed.kind.Remove(set, parsed.rule)
		set.referringRules = slices.DeleteFunc(set.referringRules, func(r parsedRule) bool { return r.line.equalContent(line) })
		delete(p.cache, lineKey{line.Text, line.Comment})
	}
	if err := p.addAll(set, added); err != nil {
		return nil, err
	}
	return set, nil
}

// addAll adds the rules of the lines to the set and then checks the references of all rules in it.
func (p *Parser) addAll(set *RuleSet, lines []Line) error {
	var errs []error
	for _, line := range lines {
		parsed, err := p.parseLine(line)
		if err == nil {
			err = parsed.kind.Add(set, parsed.rule)
		}
		if err != nil {
			errs = append(errs, &LineError{Line: line.Number, Text: line.Text, Err: err})
			continue
		}
		if parsed.kind.Check != nil {
			set.referringRules = append(set.referringRules, parsed)
		}
	}
	errs = append(errs, checkReferences(set)...)
	if len(errs) > 0 {
		return joinSortedByLine(errs)
	}
	return nil
}

// limitCache creates the cache, and discards it if it has grown too large for the current number of lines.
func (p *Parser) limitCache(lineCount int) {
	if p.cache == nil || len(p.cache) > 2*lineCount+cacheSlack {
		p.cache = make(map[lineKey]parsedRule, lineCount)
	}
}

func checkReferences(set *RuleSet) []error {
	var errs []error
	for _, r := range set.referringRules {
		if err := r.kind.Check(set, r.rule); err != nil {
			errs = append(errs, &LineError{Line: r.line.Number, Text: r.line.Text, Err: err})
		}
	}
	return errs
}

func joinSortedByLine(errs []error) error {
	slices.SortStableFunc(errs, func(a, b error) int {
		return lineNumber(a) - lineNumber(b)
	})
	return errors.Join(errs...)
}

func lineNumber(err error) int {
	var lineErr *LineError
	if errors.As(err, &lineErr) {
		return lineErr.Line
	}
	return 0
}

func (p *Parser) parseLine(line Line) (parsedRule, error) {
	if cached, ok := p.cache[lineKey{line.Text, line.Comment}]; ok {
		return cached, nil
	}
	if line.Comment == "" {
		return parsedRule{}, errors.New("comment is missing: end the line with # and who asked for the rule")
	}
	words := strings.Fields(line.Text)
	if len(words) == 0 {
		return parsedRule{}, errors.New("rule is missing before the comment")
	}
	kind, exists := Kinds.Lookup(words[0])
	if !exists {
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
	p.cache[lineKey{line.Text, line.Comment}] = parsed
	return parsed, nil
}

func splitFields(words []string) (map[string]string, error) {
	fields := make(map[string]string, len(words))
	for _, word := range words {
		name, value, found := strings.Cut(word, "=")
		if !found || name == "" || value == "" {
			return nil, fmt.Errorf("%q is not of the form field=value", word)
		}
		if _, exists := fields[name]; exists {
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
		return fmt.Errorf("%s (allowed fields: %s)", decodeErrorText(err), strings.Join(fieldNames(rule), ", "))
	}
	if err := validate.Struct(rule); err != nil {
		return validationError(err)
	}
	return nil
}

// decodeErrorText returns the text of a mapstructure error on one line, without its heading.
func decodeErrorText(err error) string {
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

// validationError returns an error that names each invalid field, its value and what is allowed.
func validationError(err error) error {
	var fieldErrs validator.ValidationErrors
	if !errors.As(err, &fieldErrs) {
		return err
	}
	parts := make([]string, len(fieldErrs))
	for i, f := range fieldErrs {
		parts[i] = fmt.Sprintf("field %s: value %v is not allowed (must be %s)", f.Field(), f.Value(), allowedValues(f))
	}
	return errors.New(strings.Join(parts, "; "))
}

// allowedValues describes the values that the failed validation allows, to follow "must be".
func allowedValues(f validator.FieldError) string {
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

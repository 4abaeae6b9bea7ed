package radishsetting

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/go-viper/mapstructure/v2"
	"github.com/gravitational/trace"
	"github.com/tailscale/hujson"

	"radishramp.example/radishramp/pkg/radish"
)

// ErrInvalid is wrapped by every error that reports settings at fault.
var ErrInvalid = errors.New("settings are invalid")

// FieldError is one setting at fault.
type FieldError struct {
	File  string
	Line  int
	Field string
	Fault string
}

// Error returns file, line, field and fault.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Fault)
}

// Unwrap returns ErrInvalid.
func (e *FieldError) Unwrap() error { return ErrInvalid }

// Load reads the file over the defaults; an empty name returns the defaults.
func Load(file string) (*Settings, error) {
	if file == "" {
		return Default(), nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return Parse(file, text)
}

// Parse decodes and checks text; file is the name used in errors, which are all reported at once.
func Parse(file string, text []byte) (*Settings, error) {
	doc := document{file: file, text: text}
	tree, err := hujson.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrInvalid, file, err)
	}
	doc.tree = tree
	plain := tree.Clone()
	plain.Standardize()
	var raw map[string]any
	if err := json.Unmarshal(plain.Pack(), &raw); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrInvalid, file, err)
	}
	cfg := Default()
	faults := doc.decode(raw, cfg)
	faults = append(faults, doc.check(cfg)...)
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return cfg, nil
}

type document struct {
	file string
	text []byte
	tree hujson.Value
}

func (d *document) decode(raw map[string]any, cfg *Settings) []error {
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		TagName:    "setting",
		MatchName:  func(key, field string) bool { return key == field },
		DecodeHook: mapstructure.StringToTimeDurationHookFunc(),
		Result:     cfg,
	})
	if err != nil {
		return []error{err}
	}
	var faults []error
	for _, err := range flatten(decoder.Decode(raw)) {
		field, fault := splitDecodeError(err)
		faults = append(faults, d.fault(field, fault))
	}
	return append(faults, d.unknown(raw)...)
}

// unknown reports the sections and settings that nothing reads; the decoder itself stops looking for them at the
// first value of a wrong type.
func (d *document) unknown(raw map[string]any) []error {
	var faults []error
	sections := fieldTypes(reflect.TypeFor[Settings]())
	for _, section := range slices.Sorted(maps.Keys(raw)) {
		t, known := sections[section]
		if !known {
			faults = append(faults, d.unknownFault(section, sections))
			continue
		}
		values, _ := raw[section].(map[string]any)
		fields := fieldTypes(t)
		for _, field := range slices.Sorted(maps.Keys(values)) {
			if _, known := fields[field]; !known {
				faults = append(faults, d.unknownFault(section+"."+field, fields))
			}
		}
	}
	return faults
}

func (d *document) unknownFault(field string, allowed map[string]reflect.Type) error {
	names := slices.Sorted(maps.Keys(allowed))
	return d.fault(field, "unknown setting (allowed: "+strings.Join(names, ", ")+")")
}

// fieldTypes returns the types of a struct's settings by their names.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	types := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		types[t.Field(i).Tag.Get("setting")] = t.Field(i).Type
	}
	return types
}

// flatten returns the leaves of an error tree that joins and wraps others.
func flatten(err error) []error {
	if err == nil {
		return nil
	}
	if named := (*mapstructure.DecodeError)(nil); errors.As(err, &named) {
		if joined, ok := named.Unwrap().(interface{ Unwrap() []error }); !ok || len(joined.Unwrap()) == 0 {
			if _, isJoin := err.(interface{ Unwrap() []error }); !isJoin {
				return []error{err}
			}
		}
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		var leaves []error
		for _, inner := range joined.Unwrap() {
			leaves = append(leaves, flatten(inner)...)
		}
		return leaves
	}
	if inner := errors.Unwrap(err); inner != nil {
		if _, ok := inner.(interface{ Unwrap() []error }); ok {
			return flatten(inner)
		}
	}
	return []error{err}
}

func splitDecodeError(err error) (field, fault string) {
	named := (*mapstructure.DecodeError)(nil)
	if errors.As(err, &named) {
		return named.Name(), named.Unwrap().Error()
	}
	return "", err.Error()
}

func (d *document) check(cfg *Settings) []error {
	err := newValidator().Struct(cfg)
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return nil
	}
	faults := make([]error, len(invalid))
	for i, f := range invalid {
		_, field, _ := strings.Cut(f.Namespace(), ".")
		faults[i] = d.fault(field, fmt.Sprintf("value %v is not allowed (must satisfy %s)", f.Value(), constraint(f)))
	}
	return faults
}

func constraint(f validator.FieldError) string {
	if f.Tag() == "picker" {
		return "one of " + strings.Join(radish.Pickers.Names(), ", ")
	}
	return strings.TrimSpace(f.Tag() + " " + f.Param())
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("setting") })
	_ = v.RegisterValidation("picker", func(fl validator.FieldLevel) bool {
		_, known := radish.Pickers.Lookup(fl.Field().String())
		return known
	})
	return v
}

func (d *document) fault(field, text string) error {
	return &FieldError{File: d.file, Line: d.lineOf(field), Field: field, Fault: text}
}

// lineOf returns the line of the field or of its nearest enclosing section that stands in the file.
func (d *document) lineOf(field string) int {
	for field != "" {
		pointer := "/" + strings.ReplaceAll(field, ".", "/")
		if v := d.tree.Find(pointer); v != nil {
			return 1 + bytes.Count(d.text[:v.StartOffset], []byte("\n"))
		}
		i := strings.LastIndexByte(field, '.')
		if i < 0 {
			break
		}
		field = field[:i]
	}
	return 1
}

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

// ErrInvalid is wrapped by every error about settings that cannot be parsed, are unknown or have an invalid value.
var ErrInvalid = errors.New("settings are invalid")

// FieldError describes an unknown or invalid setting. Field is its name with its section, such as "vm.name".
type FieldError struct {
	File    string
	Line    int
	Field   string
	Message string
}

// Error returns the location, the name of the setting and the message.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Message)
}

// Unwrap returns ErrInvalid.
func (e *FieldError) Unwrap() error { return ErrInvalid }

// Load reads the settings file and uses the default of each setting that the file does not set. If the name is empty,
// it returns the defaults.
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

// Parse decodes and validates the text of a settings file. The name of the file is used in errors. Errors about
// settings are joined, so that all of them are reported at once.
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
	errs := doc.decode(raw, cfg)
	errs = append(errs, doc.validate(cfg)...)
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return cfg, nil
}

// document is a settings file with its syntax tree, which maps settings to lines.
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
	var errs []error
	for _, err := range leafErrors(decoder.Decode(raw)) {
		field, message := splitDecodeError(err)
		errs = append(errs, d.fieldError(field, message))
	}
	return append(errs, d.unknownSettings(raw)...)
}

// unknownSettings returns an error for each section and setting that does not exist. The check of the decoder is not
// used because it stops at the first value of a wrong type.
func (d *document) unknownSettings(raw map[string]any) []error {
	var errs []error
	sections := fieldTypes(reflect.TypeFor[Settings]())
	for _, section := range slices.Sorted(maps.Keys(raw)) {
		t, ok := sections[section]
		if !ok {
			errs = append(errs, d.unknownError(section, sections))
			continue
		}
		values, _ := raw[section].(map[string]any)
		fields := fieldTypes(t)
		for _, field := range slices.Sorted(maps.Keys(values)) {
			if _, ok := fields[field]; !ok {
				errs = append(errs, d.unknownError(section+"."+field, fields))
			}
		}
	}
	return errs
}

// unknownError returns the error for an unknown section or setting. It lists the allowed names.
func (d *document) unknownError(field string, allowed map[string]reflect.Type) error {
	names := slices.Sorted(maps.Keys(allowed))
	return d.fieldError(field, "unknown setting (allowed: "+strings.Join(names, ", ")+")")
}

// fieldTypes maps the names of the settings of a struct to their types.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	types := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		types[t.Field(i).Tag.Get("setting")] = t.Field(i).Type
	}
	return types
}

// leafErrors returns the individual errors of a tree of joined and wrapped errors. A decode error that joins no others
// is returned together with the errors that wrap it, because these name the field.
func leafErrors(err error) []error {
	if err == nil {
		return nil
	}
	if decodeErr := (*mapstructure.DecodeError)(nil); errors.As(err, &decodeErr) {
		if joinedErr, ok := decodeErr.Unwrap().(interface{ Unwrap() []error }); !ok || len(joinedErr.Unwrap()) == 0 {
			if _, isJoined := err.(interface{ Unwrap() []error }); !isJoined {
				return []error{err}
			}
		}
	}
	if joinedErr, ok := err.(interface{ Unwrap() []error }); ok {
		var leaves []error
		for _, inner := range joinedErr.Unwrap() {
			leaves = append(leaves, leafErrors(inner)...)
		}
		return leaves
	}
	if inner := errors.Unwrap(err); inner != nil {
		if _, ok := inner.(interface{ Unwrap() []error }); ok {
			return leafErrors(inner)
		}
	}
	return []error{err}
}

// splitDecodeError returns the field and the message of a decode error. The field of any other error is empty.
func splitDecodeError(err error) (field, message string) {
	decodeErr := (*mapstructure.DecodeError)(nil)
	if errors.As(err, &decodeErr) {
		return decodeErr.Name(), decodeErr.Unwrap().Error()
	}
	return "", err.Error()
}

// validate returns an error for each setting whose value violates the rules of its validate tag.
func (d *document) validate(cfg *Settings) []error {
	err := newValidator().Struct(cfg)
	var fieldErrs validator.ValidationErrors
	if !errors.As(err, &fieldErrs) {
		return nil
	}
	errs := make([]error, len(fieldErrs))
	for i, f := range fieldErrs {
		_, field, _ := strings.Cut(f.Namespace(), ".")
		errs[i] = d.fieldError(field, fmt.Sprintf("value %v is not allowed (must satisfy %s)", f.Value(), constraint(f)))
	}
	return errs
}

// constraint describes the rule that a value violates.
func constraint(f validator.FieldError) string {
	if f.Tag() == "picker" {
		return "one of " + strings.Join(radish.Pickers.Names(), ", ")
	}
	return strings.TrimSpace(f.Tag() + " " + f.Param())
}

// newValidator returns a validator that names fields by their setting tags and accepts only registered pickers.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("setting") })
	_ = v.RegisterValidation("picker", func(fl validator.FieldLevel) bool {
		_, isRegistered := radish.Pickers.Lookup(fl.Field().String())
		return isRegistered
	})
	return v
}

func (d *document) fieldError(field, message string) error {
	return &FieldError{File: d.file, Line: d.lineOf(field), Field: field, Message: message}
}

// lineOf returns the line of the field or, if the file does not contain it, of the innermost enclosing section that it
// contains. Otherwise it returns 1.
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

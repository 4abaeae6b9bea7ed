package radishcheck

import (
	"fmt"
	"slices"

	"github.com/tailscale/hujson"

	"radishramp.example/radishramp/pkg/radishroute"
)

// Severity is how serious a finding is.
type Severity string

// Severities of findings.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Finding is a fault in a configuration. Path is the field in the operator's names.
type Finding struct {
	Severity Severity `json:"severity"`
	Path     string   `json:"path"`
	Line     int      `json:"line"`
	// Value is the JSON text of the field; empty if the field is missing, long or secret.
	Value   string `json:"value,omitempty"`
	Message string `json:"message"`
}

// String returns the finding without its line and severity.
func (f Finding) String() string {
	switch {
	case f.Path == "":
		return f.Message
	case f.Value == "":
		return f.Path + ": " + f.Message
	default:
		return f.Path + " = " + f.Value + ": " + f.Message
	}
}

// Report is the result of a check.
type Report struct {
	Errors   int       `json:"errors"`
	Warnings int       `json:"warnings"`
	Findings []Finding `json:"findings"`
	// HasComments is whether the text is JSON with comments, which must be removed before it is stored.
	HasComments bool         `json:"has_comments"`
	Differences []Difference `json:"differences"`
}

// Format is an operator's format of a configuration.
type Format interface {
	// Decode decodes a configuration as VMs do.
	Decode(text []byte) (*radishroute.Source, error)
	// FieldPath translates the path of a field of radishroute.Config to the operator's names.
	FieldPath(path string) string
	// IsSecret reports whether the values at the path, in the operator's names, must not be printed.
	IsSecret(path string) bool
}

// Check checks the text of a configuration, JSON that may have comments. Unless against is nil, it is the text of the
// configuration in force.
func Check(format Format, text, against []byte) (*Report, error) {
	r := &Report{Findings: []Finding{}, Differences: []Difference{}}
	doc, err := parse(text)
	if err != nil {
		r.add(Finding{Severity: SeverityError, Line: lineOfSyntaxError(err), Message: err.Error()})
		return r, nil
	}
	r.HasComments = doc.hasComments()
	source, errs := doc.decode(format)
	for _, f := range errs {
		r.add(doc.locate(format, f))
	}
	if source != nil {
		r.addFindings(format, doc, source)
	}
	if against != nil {
		return r, r.compare(format, doc, source, against)
	}
	return r, nil
}

func (r *Report) add(f Finding) {
	r.Findings = append(r.Findings, f)
	if f.Severity == SeverityError {
		r.Errors++
	} else {
		r.Warnings++
	}
}

// addFindings adds the results of all checks of a configuration that can be decoded.
func (r *Report) addFindings(format Format, doc *document, source *radishroute.Source) {
	for _, f := range repeatedFields(&doc.tree, "") {
		r.add(doc.locate(format, f))
	}
	for _, path := range source.UnknownFields {
		r.add(doc.locate(format, warning(path, "unknown field, which is ignored")))
	}
	for _, f := range Findings(source) {
		f.Path = format.FieldPath(f.Path)
		r.add(doc.locate(format, f))
	}
}

// Findings returns the faults of a decoded configuration. Their paths are those of radishroute.Config, and have no lines.
func Findings(source *radishroute.Source) []Finding {
	c := &checker{source: source, cfg: source.Config}
	c.checkRoutes()
	c.checkServices()
	c.checkTeams()
	c.checkLimits()
	return c.findings
}

// compare adds the differences from the configuration in force. VMs ignore a changed configuration unless its version is higher.
func (r *Report) compare(format Format, doc *document, source *radishroute.Source, against []byte) error {
	oldDoc, err := parse(against)
	if err != nil {
		return fmt.Errorf("configuration in force: %w", err)
	}
	old, errs := oldDoc.decode(format)
	if old == nil {
		return fmt.Errorf("configuration in force: %s: %s", errs[0].Path, errs[0].Message)
	}
	if r.Differences, err = differences(format, oldDoc, doc); err != nil {
		return err
	}
	if source != nil && len(r.Differences) > 0 && source.Config.Version <= old.Config.Version {
		r.add(doc.locate(format, failure("version", "not above version %d in force, so VMs ignore this configuration", old.Config.Version)))
	}
	return nil
}

func failure(path, format string, args ...any) Finding {
	return Finding{Severity: SeverityError, Path: path, Message: fmt.Sprintf(format, args...)}
}

func warning(path, format string, args ...any) Finding {
	return Finding{Severity: SeverityWarning, Path: path, Message: fmt.Sprintf(format, args...)}
}

// parse parses the text. The parser takes no comment at the end of the text without a newline.
func parse(text []byte) (*document, error) {
	tree, err := hujson.Parse(text)
	if err != nil {
		text = append(slices.Clip(text), '\n')
		var retryErr error
		if tree, retryErr = hujson.Parse(text); retryErr != nil {
			return nil, err
		}
	}
	return &document{text: text, tree: tree}, nil
}

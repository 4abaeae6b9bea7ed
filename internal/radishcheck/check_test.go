package radishcheck_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"radishramp.example/radishramp/internal/radishcheck"
	"radishramp.example/radishramp/platform/radishadapter"
)

// againstLine separates a configuration from the one in force that it is compared with.
const againstLine = "\nagainst:\n"

// TestCheck guards against configurations that pass the check and fail on VMs, and against findings that name the wrong
// field or line.
func TestCheck(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			text, against, isCompared := strings.Cut(d.Input, againstLine)
			var inForce []byte
			if isCompared {
				inForce = []byte(against)
			}
			report, err := radishcheck.Check(radishadapter.ConfigFormat{}, []byte(text), inForce)
			if err != nil {
				return fmt.Sprintf("failed: %v\n", err)
			}
			return describe(report)
		})
	})
}

func describe(report *radishcheck.Report) string {
	var b strings.Builder
	for _, f := range report.Findings {
		_, _ = fmt.Fprintf(&b, "%d: %s: %s\n", f.Line, f.Severity, f)
	}
	for _, d := range report.Differences {
		_, _ = fmt.Fprintf(&b, "%s\n", d)
	}
	_, _ = fmt.Fprintf(&b, "%d errors, %d warnings, comments %t\n", report.Errors, report.Warnings, report.HasComments)
	return b.String()
}

// FuzzCheck guards against panics on malformed text, and against text that passes the check although VMs reject it.
func FuzzCheck(f *testing.F) {
	f.Add(`{"version":1,"routes":[{"name":"r","host":"a","path_prefix":"/","kind":"safe","service":"s"}],"services":[{"name":"s"}]}`)
	f.Add(`{"routes":[{"timeout_ms":"x","stages":[{"after":[3]}]}], // c` + "\n}")
	f.Add(`{"tenants":[{"api_keys":[1]}],"services":[{"pieces":{"room_mb":1e300}}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		report, err := radishcheck.Check(radishadapter.ConfigFormat{}, []byte(text), []byte(text))
		if err != nil || report.Errors > 0 || report.HasComments {
			return
		}
		if _, err := (radishadapter.ConfigFormat{}).Decode([]byte(text)); err != nil {
			t.Errorf("passes the check, but cannot be decoded: %v", err)
		}
	})
}

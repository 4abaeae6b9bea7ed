package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestExamplesHaveABound(t *testing.T) {
	files, err := filepath.Glob("../../examples/bound/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no examples: %v", err)
	}
	for _, file := range files {
		var out bytes.Buffer
		opts := &options{}
		opts.Args.File = file
		if err := run(opts, &out); err != nil {
			t.Errorf("%s: %v", file, err)
		}
		if !strings.Contains(out.String(), "all, by worth") {
			t.Errorf("%s: got %q", file, out.String())
		}
	}
}

func TestBadDeploymentsAreToldOf(t *testing.T) {
	file := filepath.Join(t.TempDir(), "d.json")
	for name, text := range map[string]string{
		"no JSON": "{", "unknown field": `{"stage": {}}`, "no kinds": `{"stages": {}}`,
	} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		opts := &options{}
		opts.Args.File = file
		if err := run(opts, &bytes.Buffer{}); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	opts := &options{Burst: map[string]float64{"none": 2}}
	opts.Args.File = "../../examples/bound/congress-grown.json"
	if err := run(opts, &bytes.Buffer{}); err == nil {
		t.Error("a burst of an unknown kind is no error")
	}
}

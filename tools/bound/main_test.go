package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestExampleDeployments(t *testing.T) {
	files, err := filepath.Glob("../../examples/bound/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no example deployments found: %v", err)
	}
	for _, file := range files {
		var out bytes.Buffer
		opts := &options{}
		opts.Args.File = file
		if err := run(opts, &out); err != nil {
			t.Errorf("%s: %v", file, err)
		}
		if !strings.Contains(out.String(), "all, by worth") {
			t.Errorf("%s: output lacks the total by worth: %q", file, out.String())
		}
	}
}

func TestInvalidInputIsReported(t *testing.T) {
	file := filepath.Join(t.TempDir(), "d.json")
	for name, text := range map[string]string{
		"incomplete JSON": "{", "unknown field": `{"stage": {}}`, "no kinds": `{"stages": {}}`,
	} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		opts := &options{}
		opts.Args.File = file
		if err := run(opts, &bytes.Buffer{}); err == nil {
			t.Errorf("%s: got no error", name)
		}
	}
	opts := &options{Burst: map[string]float64{"none": 2}}
	opts.Args.File = "../../examples/bound/congress-grown.json"
	if err := run(opts, &bytes.Buffer{}); err == nil {
		t.Error("burst of an unknown kind of call: got no error")
	}
}

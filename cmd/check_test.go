package cmd

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/jessevdk/go-flags"

	"radishramp.example/radishramp/internal/radishcheck"
)

const (
	validConfig   = `{"version":1,"routes":[{"name":"r","host":"a.example","kind":"safe","service":"s"}],"services":[{"name":"s"}]}`
	warningConfig = `{"version":2,"routes":[{"name":"r","host":"a.example","kind":"safe","service":"s"}],"services":[{"name":"s"},{"name":"t"}]}`
	errorConfig   = `{"version":"1"}`
)

// checkOutput runs the check and returns its exit code and output.
func checkOutput(t *testing.T, args ...string) (code int, output []byte) {
	t.Helper()
	name := filepath.Join(t.TempDir(), "output")
	file, err := os.Create(name)
	if err != nil {
		t.Fatal(err)
	}
	stdout := os.Stdout
	os.Stdout = file
	defer func() { os.Stdout = stdout }()
	command := &checkCommand{}
	_, err = flags.NewParser(command, flags.None).ParseArgs(args)
	if err == nil {
		err = command.Execute(nil)
	}
	code = exitCode(err)
	_ = file.Close()
	output, err = os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return code, output
}

func writeConfig(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// TestCheckExitCode guards against scripts that store a configuration with errors.
func TestCheckExitCode(t *testing.T) {
	valid := writeConfig(t, validConfig)
	tests := []struct {
		name string
		args []string
		want int
	}{
		{"no findings", []string{valid}, 0},
		{"the same is in force", []string{valid, "--against", valid}, 0},
		{"warnings", []string{writeConfig(t, warningConfig), "--against", valid}, 1},
		{"errors", []string{writeConfig(t, errorConfig)}, 2},
		{"older than in force", []string{valid, "--against", writeConfig(t, warningConfig)}, 2},
		{"configuration in force with errors", []string{valid, "--against", writeConfig(t, errorConfig)}, 2},
		{"missing file", []string{valid + ".missing"}, 2},
		{"missing file in force", []string{valid, "--against", valid + ".missing"}, 2},
		{"no file", nil, 2},
		{"example", []string{"../examples/configuration.json"}, 0},
	}
	for _, test := range tests {
		if code, output := checkOutput(t, test.args...); code != test.want {
			t.Errorf("%s: got exit code %d, want %d; output:\n%s", test.name, code, test.want, output)
		}
	}
}

// TestCheckJSON guards against changed names in the output that scripts read.
func TestCheckJSON(t *testing.T) {
	code, output := checkOutput(t, "--json", "--against", writeConfig(t, validConfig), writeConfig(t, warningConfig))
	want := `{"errors":0,"warnings":1,"findings":[{"severity":"warning","path":"services[1]","line":1,"message":"no route sends calls or stages to service t"}],` +
		`"has_comments":false,"differences":[{"path":"services[\"t\"]","change":"added"},{"path":"version","change":"changed","old":1,"new":2}]}` + "\n"
	if code != exitWarnings || string(output) != want {
		t.Errorf("got exit code %d and\n%swant\n%s", code, output, want)
	}
	var report radishcheck.Report
	if err := json.Unmarshal(output, &report); err != nil || len(report.Findings) != 1 {
		t.Errorf("got %+v, %v", report, err)
	}
}

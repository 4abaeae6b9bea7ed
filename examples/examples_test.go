// Package examples_test checks that the example rules and settings are valid.
package examples_test

import (
	"os"
	"testing"

	_ "radishramp.example/radishramp/internal/radishtarget"

	"radishramp.example/radishramp/internal/radishsetting"
	"radishramp.example/radishramp/pkg/radishrule"
)

func TestExamplesAreValid(t *testing.T) {
	for _, file := range []string{"demo/demo.rules", "roads/rules", "congress/rules"} {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := radishrule.Parse(string(text)); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
	for _, file := range []string{"settings.json", "roads/vm.json", "congress/vm.json"} {
		if _, err := radishsetting.Load(file); err != nil {
			t.Error(err)
		}
	}
}

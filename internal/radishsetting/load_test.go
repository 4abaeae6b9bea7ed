package radishsetting_test

import (
	"errors"
	"os"
	"reflect"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/tailscale/hujson"

	_ "radishramp.example/radishramp/internal/radishtarget"

	"radishramp.example/radishramp/internal/radishsetting"
)

func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse", func(t *testing.T, d *datadriven.TestData) string {
		_, err := radishsetting.Parse("vm.json", []byte(d.Input))
		if err != nil {
			if !errors.Is(err, radishsetting.ErrInvalid) {
				t.Errorf("the error does not wrap ErrInvalid: %v", err)
			}
			return err.Error() + "\n"
		}
		return "ok\n"
	})
}

// TestExampleContainsAllSettings checks that the example file contains each setting with its default value. The seeds
// are exempt because they have no default.
func TestExampleContainsAllSettings(t *testing.T) {
	text, err := os.ReadFile("../../examples/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	got, err := radishsetting.Parse("settings.json", text)
	if err != nil {
		t.Fatal(err)
	}
	tree, err := hujson.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	want := radishsetting.Default()
	want.Peer.Seeds = got.Peer.Seeds
	if !reflect.DeepEqual(got, want) {
		t.Errorf("the example file differs from the defaults:\n got %+v\nwant %+v", got, want)
	}
	for i := range reflect.TypeFor[radishsetting.Settings]().NumField() {
		section := reflect.TypeFor[radishsetting.Settings]().Field(i)
		for j := range section.Type.NumField() {
			pointer := "/" + section.Tag.Get("setting") + "/" + section.Type.Field(j).Tag.Get("setting")
			if tree.Find(pointer) == nil {
				t.Errorf("the example file does not contain %s", pointer)
			}
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"vm": {"name": "a", "data_centre": "b"}} // comment`))
	f.Add([]byte(`{"caller": {"listen": 5, "nope": []}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		cfg, err := radishsetting.Parse("fuzz.json", text)
		if (cfg == nil) == (err == nil) {
			t.Fatalf("got settings %v and error %v, want exactly one of them", cfg, err)
		}
	})
}

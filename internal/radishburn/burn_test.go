package radishburn_test

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"radishramp.example/radishramp/internal/radishburn"
)

func TestRatesOverWindows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var first, second radishburn.Recorder
		for range 50 {
			first.Record("digest", "congress", false)
		}
		time.Sleep(30 * time.Minute)
		for range 950 {
			first.Record("digest", "congress", true)
			second.Record("digest", "speakers", true)
		}
		rates := radishburn.Rates([]radishburn.Export{first.Export(), second.Export()}, map[string]float64{"digest": 0.99})
		want := map[string]float64{"*/5m0s": 0, "*/1h0m0s": 50.0 / 1950 / 0.01, "congress/1h0m0s": 5, "speakers/6h0m0s": 0, "congress/6h0m0s": 5}
		for _, r := range rates {
			name := r.Team + "/" + r.Window.String()
			if wantRate, ok := want[name]; ok && math.Abs(r.BurnRate-wantRate) > 1e-9 {
				t.Errorf("%s: got burn rate %v, want %v", name, r.BurnRate, wantRate)
			}
			delete(want, name)
		}
		if len(want) > 0 {
			t.Errorf("no burn rates for %v", want)
		}
		time.Sleep(7 * time.Hour)
		if rows := first.Export().Rows; len(rows) != 0 {
			t.Errorf("got %d rows after seven hours without requests, want 0", len(rows))
		}
		checkPlot(t, rates)
	})
}

func checkPlot(t *testing.T, rates []radishburn.Rate) {
	t.Helper()
	var out bytes.Buffer
	radishburn.Plot(&out, rates)
	decoder := xml.NewDecoder(&out)
	for {
		if _, err := decoder.Token(); errors.Is(err, io.EOF) {
			return
		} else if err != nil {
			t.Fatalf("the plot is not well-formed XML: %v", err)
		}
	}
}

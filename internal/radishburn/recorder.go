package radishburn

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Time slots of the recorder.
const (
	// slotDuration is the time that one slot covers, and so the resolution of the windows.
	slotDuration = time.Minute
	// slotCount is the number of slots that a VM keeps in memory. They cover six hours, the longest window.
	slotCount = 361
)

// Windows are the time windows for which burn rates are calculated.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// TeamPipeline identifies the requests of one team to one pipeline.
type TeamPipeline struct {
	Pipeline string `json:"pipeline"`
	Team     string `json:"team"`
}

// Counts are the numbers of requests by result.
type Counts struct {
	// Met is the number of requests that were answered completely within their deadline.
	Met int64 `json:"whole"`
	// Missed is the number of all other requests.
	Missed int64 `json:"missed"`
}

// Total returns the number of all requests.
func (c Counts) Total() int64 { return c.Met + c.Missed }

// slot holds the counts of one slotDuration.
type slot struct {
	// number is the number of slots since the Unix epoch.
	number int64
	counts map[TeamPipeline]*Counts
}

// Recorder counts requests. The zero value is ready to use, and Record on a nil *Recorder does nothing.
type Recorder struct {
	mu    sync.Mutex
	slots [slotCount]slot
	since time.Time
}

// Record counts one request. met reports whether it was answered completely within its deadline.
func (r *Recorder) Record(pipeline, team string, met bool) {
	if r == nil {
		return
	}
	number := time.Now().Unix() / int64(slotDuration/time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.since.IsZero() {
		r.since = time.Now()
	}
	s := &r.slots[number%slotCount]
	if s.number != number || s.counts == nil {
		*s = slot{number: number, counts: make(map[TeamPipeline]*Counts)}
	}
	id := TeamPipeline{Pipeline: pipeline, Team: team}
	c := s.counts[id]
	if c == nil {
		c = &Counts{}
		s.counts[id] = c
	}
	if met {
		c.Met++
	} else {
		c.Missed++
	}
}

// Row has the counts of one team and pipeline in one window.
type Row struct {
	TeamPipeline
	Window time.Duration `json:"window_ns"`
	Counts
}

// Export has the counts of one VM.
type Export struct {
	// Since is the time of the first request that the VM counted. Counts are kept in memory only, so those of a VM that
	// it replaced are lost.
	Since time.Time `json:"since"`
	Rows  []Row     `json:"rows"`
}

// Export returns the counts of all windows, sorted by pipeline, team and window.
func (r *Recorder) Export() Export {
	number := time.Now().Unix() / int64(slotDuration/time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	export := Export{Since: r.since}
	for _, window := range Windows {
		lastExpired := number - int64(window/slotDuration)
		sums := make(map[TeamPipeline]Counts)
		for _, s := range r.slots {
			if s.number <= lastExpired {
				continue
			}
			for id, c := range s.counts {
				sum := sums[id]
				sum.Met += c.Met
				sum.Missed += c.Missed
				sums[id] = sum
			}
		}
		for id, sum := range sums {
			export.Rows = append(export.Rows, Row{TeamPipeline: id, Window: window, Counts: sum})
		}
	}
	slices.SortFunc(export.Rows, compareRows)
	return export
}

func compareRows(a, b Row) int {
	if c := strings.Compare(a.Pipeline, b.Pipeline); c != 0 {
		return c
	}
	if c := strings.Compare(a.Team, b.Team); c != 0 {
		return c
	}
	return int(a.Window - b.Window)
}

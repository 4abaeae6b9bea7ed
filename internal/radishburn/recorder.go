package radishburn

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Slots of the recorder.
const (
	// slotTime is the resolution of the windows.
	slotTime = time.Minute
	// slotCount is how many slots a VM keeps: six hours, the longest window that a VM's memory serves.
	slotCount = 361
)

// Windows are the spans for which burn rates are reported.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

// Subject is a pipeline of a team.
type Subject struct {
	Pipeline string `json:"pipeline"`
	Team     string `json:"team"`
}

// Count is what happened to requests.
type Count struct {
	Whole  int64 `json:"whole"`
	Missed int64 `json:"missed"`
}

// Total returns all requests of the count.
func (c Count) Total() int64 { return c.Whole + c.Missed }

// slot holds the counts of one slotTime.
type slot struct {
	number int64
	counts map[Subject]*Count
}

// Recorder counts requests; the zero value is ready and a nil *Recorder counts nothing.
type Recorder struct {
	mu    sync.Mutex
	slots [slotCount]slot
	since time.Time
}

// Record counts one request.
func (r *Recorder) Record(pipeline, team string, whole bool) {
	if r == nil {
		return
	}
	number := time.Now().Unix() / int64(slotTime/time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.since.IsZero() {
		r.since = time.Now()
	}
	s := &r.slots[number%slotCount]
	if s.number != number || s.counts == nil {
		*s = slot{number: number, counts: make(map[Subject]*Count)}
	}
	subject := Subject{Pipeline: pipeline, Team: team}
	c := s.counts[subject]
	if c == nil {
		c = &Count{}
		s.counts[subject] = c
	}
	if whole {
		c.Whole++
	} else {
		c.Missed++
	}
}

// Row is the count of one subject over one window.
type Row struct {
	Subject
	Window time.Duration `json:"window_ns"`
	Count
}

// Export is what one VM has counted.
type Export struct {
	// Since is when the VM began to count: what went before, on a replaced VM, is lost.
	Since time.Time `json:"since"`
	Rows  []Row     `json:"rows"`
}

// Export returns the counts over all windows.
func (r *Recorder) Export() Export {
	number := time.Now().Unix() / int64(slotTime/time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	export := Export{Since: r.since}
	for _, window := range Windows {
		oldest := number - int64(window/slotTime)
		sums := make(map[Subject]Count)
		for _, s := range r.slots {
			if s.number <= oldest {
				continue
			}
			for subject, c := range s.counts {
				sum := sums[subject]
				sum.Whole += c.Whole
				sum.Missed += c.Missed
				sums[subject] = sum
			}
		}
		for subject, sum := range sums {
			export.Rows = append(export.Rows, Row{Subject: subject, Window: window, Count: sum})
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

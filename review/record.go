package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file record.txt of a case: what was sent, answered and run.
type record struct {
	mu        sync.Mutex
	file      *os.File
	w         *bufio.Writer
	startedAt time.Time
	broken    int
}

func newRecord(name string) (*record, error) {
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	return &record{file: file, w: bufio.NewWriter(file), startedAt: time.Now()}, nil
}

// add writes one line.
func (r *record) add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(who, fmt.Sprintf(format, args...))
}

func (r *record) write(who, text string) {
	fmt.Fprintf(r.w, "%9.3f %-12s %s\n", time.Since(r.startedAt).Seconds(), who, text)
}

// violation writes a line that says how the rule was broken.
func (r *record) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
	text := fmt.Sprintf(format, args...)
	r.write("BROKEN", text)
	fmt.Println("BROKEN:", text)
}

func (r *record) violations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}

package radishlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines is how many lines may wait to be written.
	queueLines = 2048
	// flushBytes is how much is written at a time.
	flushBytes = 16 << 10
)

// Writer queues lines for one goroutine that writes them; make it with NewWriter.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	closing chan struct{}
	once    sync.Once
	done    chan struct{}
	dropped atomic.Int64
}

// NewWriter returns a writer of lines to out; Close writes what waits and ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer and never blocks.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case <-w.closing:
		w.dropped.Add(1)
		return len(p), nil
	default:
	}
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many lines were dropped since the last one that told so.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the lines that wait and ends the writer; lines that come later are dropped.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.closing) })
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	buffer := make([]byte, 0, flushBytes)
	for {
		select {
		case line := <-w.lines:
			buffer = w.flush(append(buffer[:0], line...))
		case <-w.closing:
			for buffer = w.gather(buffer[:0]); len(buffer) > 0; buffer = w.gather(buffer[:0]) {
				buffer = w.flush(buffer)
			}
			return
		}
	}
}

// flush writes the lines in the buffer, those that wait meanwhile, and how many were dropped.
func (w *Writer) flush(buffer []byte) []byte {
	buffer = w.gather(buffer)
	if n := w.dropped.Swap(0); n > 0 {
		buffer = append(buffer, droppedLine(n)...)
	}
	// A log that cannot be written has nowhere to say so.
	_, _ = w.out.Write(buffer)
	return buffer
}

// gather appends the lines that wait, up to the size of one write.
func (w *Writer) gather(buffer []byte) []byte {
	for len(buffer) < flushBytes {
		select {
		case line := <-w.lines:
			buffer = append(buffer, line...)
		default:
			return buffer
		}
	}
	return buffer
}

func droppedLine(n int64) string {
	return fmt.Sprintf(`{"@level":"warn","@message":"log lines dropped","@timestamp":%q,"lines":%d}`+"\n", time.Now().Format(time.RFC3339Nano), n)
}

package radishlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity is the maximum number of lines in the queue.
	queueCapacity = 2048
	// writeBytes is the size at which queued lines are written without collecting more of them.
	writeBytes = 16 << 10
)

// Writer queues lines and writes them to the output in a goroutine of its own. Use NewWriter to create one.
type Writer struct {
	out       io.Writer
	queue     chan []byte
	closing   chan struct{}
	closeOnce sync.Once
	done      chan struct{}
	dropped   atomic.Int64
}

// NewWriter returns a Writer that writes to out and starts its goroutine. The caller must call Close to write the
// queued lines and stop the goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, queue: make(chan []byte, queueCapacity), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues p as one line. It never blocks and never returns an error: if the queue is full or the writer is closed,
// it drops the line.
func (w *Writer) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case <-w.closing:
		w.dropped.Add(1)
		return len(p), nil
	default:
	}
	select {
	case w.queue <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of dropped lines that no log line has reported yet.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the writer. Lines that are written later are dropped.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.closing) })
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	buffer := make([]byte, 0, writeBytes)
	for {
		select {
		case line := <-w.queue:
			buffer = w.flush(append(buffer[:0], line...))
		case <-w.closing:
			for buffer = w.appendQueued(buffer[:0]); len(buffer) > 0; buffer = w.appendQueued(buffer[:0]) {
				buffer = w.flush(buffer)
			}
			return
		}
	}
}

// flush writes the buffer together with more queued lines and, if lines were dropped, a line with their number.
func (w *Writer) flush(buffer []byte) []byte {
	buffer = w.appendQueued(buffer)
	if n := w.dropped.Swap(0); n > 0 {
		buffer = append(buffer, droppedLine(n)...)
	}
	// The error is ignored because there is no other place to report a failure of the log.
	_, _ = w.out.Write(buffer)
	return buffer
}

// appendQueued appends queued lines until the queue is empty or the buffer has reached writeBytes.
func (w *Writer) appendQueued(buffer []byte) []byte {
	for len(buffer) < writeBytes {
		select {
		case line := <-w.queue:
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

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// workerConn is a connection that an entry VM opened to a worker.
type workerConn struct {
	net.Conn
	// late is a second answer that the worker writes where the next answer is expected.
	late []byte
}

// worker stands in for a worker of the platform: it serves one request at a time on a connection.
type worker struct {
	e       *env
	id      string
	service string
	zone    string
	address string
	slots   int
	// handle answers a request whose body has been read; it returns false if the connection is to be closed.
	handle func(c *workerConn, r *http.Request, body []byte) bool

	listener net.Listener
}

// startWorker starts a worker and registers it in the store.
func (e *env) startWorker(w *worker) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.e, w.listener, w.address = e, listener, listener.Addr().String()
	go w.accept()
	e.closers = append(e.closers, func() { _ = listener.Close() })
	w.register("ready")
	return nil
}

func (w *worker) register(state string) {
	w.e.store.put("servers", w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
}

func (w *worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.serve(&workerConn{Conn: conn})
	}
}

func (w *worker) serve(c *workerConn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
			if writeResponse(c, 421, []string{"Instance-Id: " + w.id}, nil) != nil {
				return
			}
			continue
		}
		if !w.handle(c, r, body) {
			return
		}
	}
}

// response returns an answer with a length.
func response(status int, headers []string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)
	return b.Bytes()
}

func writeResponse(w io.Writer, status int, headers []string, body []byte) error {
	_, err := w.Write(response(status, headers, body))
	return err
}

// answerHeaders are the headers that every answer of a worker to a client's request bears.
func (w *worker) answerHeaders(r *http.Request) []string {
	return []string{"Attempt-Id: " + r.Header.Get("Attempt-Id"), "Response-Stamp: " + w.id + "." + r.Header.Get("Attempt-Id")}
}

// chunk writes one chunk of a body without a length.
func chunk(w io.Writer, text string) error {
	_, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text)
	return err
}

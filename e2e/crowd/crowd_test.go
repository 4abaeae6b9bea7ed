package crowd_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"radishramp.example/radishramp/platform/radishadaptertest"
)

const (
	// uploaders is the size of a crowd that sends bodies: together they are larger than the VM's memory.
	uploaders = 48
	// openers is the size of a crowd that opens connections or sends headers.
	openers = 300
	// holdTime is how long a crowd stays after it has sent everything or can send no more.
	holdTime = 1500 * time.Millisecond
	// stuckTime is how long a member of the crowd tries to send the next bytes.
	stuckTime = 1500 * time.Millisecond
	// smallBuffer is the receive buffer of callers and targets that do not read.
	smallBuffer = 4 << 10
)

// play opens a connection for each member of the crowd, lets all act at the same time, and checks the VM while the connections are open
// and after they were closed. The errors of members do not count: a VM may refuse them and close their connections.
func (s *site) play(members int, act func(conn net.Conn)) {
	s.t.Helper()
	var wg sync.WaitGroup
	conns := make(chan net.Conn, members)
	dialer := net.Dialer{Timeout: callTimeout, Control: smallReceiveBuffer}
	for range members {
		wg.Go(func() {
			conn, err := dialer.Dial("tcp", s.address)
			if err != nil {
				return
			}
			conns <- conn
			act(conn)
		})
	}
	wg.Wait()
	close(conns)
	time.Sleep(holdTime)
	s.check("while the crowd is there")
	for conn := range conns {
		_ = conn.Close()
	}
	s.check("after the crowd has left")
}

func smallReceiveBuffer(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
	})
}

// send writes the bytes in pieces with a pause after each, and reports whether all were taken.
func send(conn net.Conn, p []byte, piece int, pause time.Duration) bool {
	for len(p) > 0 {
		n := min(piece, len(p))
		_ = conn.SetWriteDeadline(time.Now().Add(stuckTime))
		if _, err := conn.Write(p[:n]); err != nil {
			return false
		}
		p = p[n:]
		time.Sleep(pause)
	}
	return true
}

// chunks returns the bytes as chunks of the size, without the last chunk, which would end the body.
func chunks(total, size int) []byte {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	return bytes.Repeat([]byte(chunk), total/size)
}

func announced(n int) string { return "Content-Length: " + strconv.Itoa(n) }

const chunked = "Transfer-Encoding: chunked"

var largeBody = bytes.Repeat([]byte("x"), maxBodyBytes)

// TestSingleLargeBodyIsServed guards against limits that a single caller within the configuration's limits reaches.
func TestSingleLargeBodyIsServed(t *testing.T) {
	s := newSite(t)
	if status, err := s.call("/crowd/x", largeBody); status != http.StatusOK {
		t.Errorf("got status %d, error %v", status, err)
	}
	s.check("after the body")
}

// TestManyLargeBodies guards against bodies of legal size that together are larger than the VM's memory.
func TestManyLargeBodies(t *testing.T) {
	newSite(t).play(uploaders, func(conn net.Conn) {
		send(conn, append([]byte(requestHead("/crowd/x", announced(maxBodyBytes))), largeBody...), maxBodyBytes, 0)
	})
}

// TestManyLargeBodiesInPieces is like TestManyLargeBodies with bodies that arrive in pieces, so that none is complete before all are large.
func TestManyLargeBodiesInPieces(t *testing.T) {
	newSite(t).play(uploaders, func(conn net.Conn) {
		send(conn, append([]byte(requestHead("/crowd/x", announced(maxBodyBytes))), largeBody...), 64<<10, 10*time.Millisecond)
	})
}

// TestBodiesThatStopShort guards against bodies that are held because their last byte does not come.
func TestBodiesThatStopShort(t *testing.T) {
	newSite(t).play(uploaders, func(conn net.Conn) {
		send(conn, append([]byte(requestHead("/crowd/x", announced(maxBodyBytes))), largeBody[1:]...), 256<<10, 0)
	})
}

// TestLargeChunksThatStopShort is like TestBodiesThatStopShort without an announced length, in large chunks.
func TestLargeChunksThatStopShort(t *testing.T) {
	body := chunks(maxBodyBytes, 256<<10)
	newSite(t).play(uploaders, func(conn net.Conn) {
		send(conn, append([]byte(requestHead("/crowd/x", chunked)), body...), 256<<10, 0)
	})
}

// TestSmallChunksThatStopShort is like TestLargeChunksThatStopShort in very small chunks.
func TestSmallChunksThatStopShort(t *testing.T) {
	body := chunks(maxBodyBytes, 16)
	newSite(t).play(uploaders, func(conn net.Conn) {
		send(conn, append([]byte(requestHead("/crowd/x", chunked)), body...), 256<<10, 0)
	})
}

// farOver is the size of bodies far over the limit.
const farOver = 8 * maxBodyBytes

// TestAnnouncedBodiesFarOverLimit guards against reading bodies whose announced length is over the limit.
func TestAnnouncedBodiesFarOverLimit(t *testing.T) {
	newSite(t).play(uploaders, func(conn net.Conn) {
		if send(conn, []byte(requestHead("/crowd/x", announced(farOver))), farOver, 0) {
			for range farOver / maxBodyBytes {
				if !send(conn, largeBody, 256<<10, 0) {
					return
				}
			}
		}
	})
}

// TestSentBodiesFarOverLimit guards against reading bodies beyond the limit whose length is not announced.
func TestSentBodiesFarOverLimit(t *testing.T) {
	body := chunks(maxBodyBytes, 64<<10)
	newSite(t).play(uploaders, func(conn net.Conn) {
		if send(conn, []byte(requestHead("/crowd/x", chunked)), farOver, 0) {
			for range farOver / maxBodyBytes {
				if !send(conn, body, 256<<10, 0) {
					return
				}
			}
		}
	})
}

// TestIdleAndHalfOpenConnections guards against connections that never send a request, or only a part of one.
func TestIdleAndHalfOpenConnections(t *testing.T) {
	parts := []string{"", "POST /crowd/x HT", "POST /crowd/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: 1"}
	var mu sync.Mutex
	count := 0
	newSite(t).play(2*openers, func(conn net.Conn) {
		mu.Lock()
		part := parts[count%len(parts)]
		count++
		mu.Unlock()
		send(conn, []byte(part), 1<<10, 0)
	})
}

// TestManyHeaderLines guards against heads of very many short lines, which take far more memory decoded than on the wire; half of them
// do not end.
func TestManyHeaderLines(t *testing.T) {
	lines := strings.Repeat("a:b\r\n", 100_000)
	var mu sync.Mutex
	count := 0
	newSite(t).play(uploaders, func(conn net.Conn) {
		mu.Lock()
		count++
		end := strings.Repeat("\r\n", count%2)
		mu.Unlock()
		send(conn, []byte(strings.TrimSuffix(requestHead("/crowd/x", announced(0)), "\r\n")+lines+end), 256<<10, 0)
	})
}

// TestLongListsBeforeBodiesThatStopShort guards against lists in heads, within the limit on heads, that take far more memory decoded than on the
// wire and are held while their bodies do not end.
func TestLongListsBeforeBodiesThatStopShort(t *testing.T) {
	const listBytes, bodyBytes = 15_000, 4 << 10
	lists := map[string]string{
		"empty parts":   "Prompt-Prefix: " + strings.Repeat(",", listBytes),
		"short parts":   "Prompt-Prefix: " + strings.Repeat("a,", listBytes/2),
		"counted parts": "Prompt-Prefix: " + strings.Repeat("a:1,", listBytes/4),
		"pieces":        "Pieces: " + strings.Repeat(",", listBytes),
		"connection":    "Connection: " + strings.Repeat("a,", listBytes/2),
	}
	for name, line := range lists {
		t.Run(name, func(t *testing.T) {
			request := requestHead("/crowd/x", announced(bodyBytes), line) + strings.Repeat("x", bodyBytes-1)
			newSite(t).play(2*openers, func(conn net.Conn) { send(conn, []byte(request), maxBodyBytes, 0) })
		})
	}
}

// TestLongTrailerListsBeforeBodiesThatStopShort is like TestLongListsBeforeBodiesThatStopShort with announced trailers, which net/http decodes.
func TestLongTrailerListsBeforeBodiesThatStopShort(t *testing.T) {
	const names, bodyBytes = 3750, 4 << 10
	list := make([]string, names)
	for i := range list {
		list[i] = fmt.Sprintf("%03x", i)
	}
	request := requestHead("/crowd/x", chunked, "Trailer: "+strings.Join(list, ",")) + fmt.Sprintf("%x\r\n", bodyBytes) + strings.Repeat("x", bodyBytes-1)
	newSite(t).play(2*openers, func(conn net.Conn) { send(conn, []byte(request), maxBodyBytes, 0) })
}

// TestCallersThatDoNotRead guards against responses that pile up for callers that do not read them.
func TestCallersThatDoNotRead(t *testing.T) {
	s := newSite(t)
	response := bytes.Repeat([]byte("x"), 2*maxBodyBytes)
	s.crowdTarget.SetInterceptor(func(w http.ResponseWriter, r *http.Request) bool {
		sign(w, r, s.crowdTarget)
		_, _ = w.Write(response)
		return true
	})
	s.play(openers, func(conn net.Conn) { send(conn, []byte(requestHead("/crowd/x", announced(0))), 1<<10, 0) })
}

// TestTargetsThatDoNotRead guards against bodies that pile up for a target that does not read them.
func TestTargetsThatDoNotRead(t *testing.T) {
	s := newSite(t)
	stopped := make(chan struct{})
	t.Cleanup(func() { close(stopped) })
	s.crowdTarget.SetInterceptor(func(http.ResponseWriter, *http.Request) bool {
		<-stopped
		return true
	})
	s.play(uploaders, func(conn net.Conn) {
		send(conn, append([]byte(requestHead("/crowd/x", announced(maxBodyBytes))), largeBody...), 256<<10, 0)
	})
}

func sign(w http.ResponseWriter, r *http.Request, target *radishadaptertest.Target) {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Response-Stamp", "signed-by-"+target.ID)
}

// TestEventsWithoutEnd guards against events that targets send on without ending them, just below the size of the largest event, and that pile up in
// the VM until its memory is used up.
func TestEventsWithoutEnd(t *testing.T) {
	s := newSite(t)
	stopped := make(chan struct{})
	t.Cleanup(func() { close(stopped) })
	const eventBytes = 980 << 10
	s.crowdTarget.SetInterceptor(func(w http.ResponseWriter, r *http.Request) bool {
		sign(w, r, s.crowdTarget)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write(bytes.Repeat([]byte("x"), eventBytes))
		_ = http.NewResponseController(w).Flush()
		select {
		case <-stopped:
		case <-r.Context().Done():
		}
		return true
	})
	s.play(openers, func(conn net.Conn) { send(conn, []byte(requestHead("/crowd/x", announced(0))), 1<<10, 0) })
}

// TestBytesWithoutEndInPlaceOfResponses guards against targets that send bytes without end in place of a head, in a header line, or in a body.
func TestBytesWithoutEndInPlaceOfResponses(t *testing.T) {
	for name, head := range map[string]string{"no head": "", "header line": "HTTP/1.1 200 OK\r\nX-Line: ", "body without length": "HTTP/1.1 200 OK\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			s.crowdTarget.SetInterceptor(func(w http.ResponseWriter, _ *http.Request) bool {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return true
				}
				defer func() { _ = conn.Close() }()
				_, err = conn.Write([]byte(head))
				part := bytes.Repeat([]byte("x"), 64<<10)
				for end := time.Now().Add(2 * holdTime); err == nil && time.Now().Before(end); {
					_ = conn.SetWriteDeadline(end)
					_, err = conn.Write(part)
				}
				return true
			})
			s.play(uploaders, func(conn net.Conn) { send(conn, []byte(requestHead("/crowd/x", announced(0))), 1<<10, 0) })
		})
	}
}

package main

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metadata, object and event have the form of the platform's object API.
type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	CreateRev  int64    `json:"create_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type event struct {
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
	kind    string
	rev     int64
}

// store is a stand-in of the platform's metadata store. It keeps all history and answers at once.
type store struct {
	address  string
	mu       sync.Mutex
	changed  chan struct{}
	revision int64
	objects  map[string]map[string]object
	events   []event
	// watchesCut is closed and replaced when all waiting watches are cut off.
	watchesCut chan struct{}
	cuts       int
}

func startStore(ip string) *store {
	s := &store{changed: make(chan struct{}), watchesCut: make(chan struct{}), revision: 1, objects: make(map[string]map[string]object)}
	l := listen(ip + ":0")
	s.address = l.Addr().String()
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return s
}

func listen(address string) net.Listener {
	l, err := net.Listen("tcp", address)
	if err != nil {
		fatal("listen: %v", err)
	}
	return l
}

// put creates or replaces an object, as the operator or a worker does.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		fatal("encode: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.save(kind, name, text)
}

func (s *store) save(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	o, ok := s.objects[kind][name]
	if ok && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	if !ok {
		o.Metadata = metadata{Name: name, CreateRev: s.revision, Finalizers: []string{}}
	}
	o.Spec, o.Metadata.Revision = spec, s.revision
	s.objects[kind][name] = o
	s.publish(event{Object: o, kind: kind, rev: s.revision})
	return o
}

// remove removes an object and returns when the store had done so.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return time.Now()
	}
	s.revision++
	delete(s.objects[kind], name)
	o.Metadata.Revision = s.revision
	s.publish(event{Object: o, Removed: true, kind: kind, rev: s.revision})
	return time.Now()
}

func (s *store) publish(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// cutWatches cuts off all watches that wait.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.watchesCut)
	s.watchesCut = make(chan struct{})
	note("the store cuts off the watches that wait")
}

// ServeHTTP implements the calls of the object API that the system makes.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/radishramp/objects/"), "/")
	body, _ := io.ReadAll(r.Body)
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Get("watch") != "":
		s.watch(w, r, parts[0])
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, r, parts[0])
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[parts[0]][parts[1]]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.write(w, r.Method, parts, body)
	case r.Method == http.MethodDelete && len(parts) == 2:
		s.remove(parts[0], parts[1])
		reply(w, http.StatusOK, struct{}{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) write(w http.ResponseWriter, method string, parts []string, body []byte) {
	var o object
	if json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name := o.Metadata.Name
	if len(parts) > 1 {
		name = parts[1]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, exists := s.objects[parts[0]][name]
	switch {
	case method == http.MethodPost && exists:
		reply(w, http.StatusConflict, stored)
	case method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	case method == http.MethodPut && o.Metadata.Revision != 0 && o.Metadata.Revision != stored.Metadata.Revision:
		reply(w, http.StatusConflict, stored)
	default:
		reply(w, http.StatusOK, s.save(parts[0], name, o.Spec))
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(waitMs)*time.Millisecond)
	defer cancel()
	s.mu.Lock()
	cut := s.watchesCut
	s.mu.Unlock()
	for {
		s.mu.Lock()
		changed, revision := s.changed, s.revision
		var found []event
		for _, e := range s.events {
			if e.kind == kind && e.rev > after {
				found = append(found, e)
			}
		}
		s.mu.Unlock()
		if len(found) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": found, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-cut:
			s.mu.Lock()
			s.cuts++
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		case <-ctx.Done():
			reply(w, http.StatusOK, map[string]any{"events": []event{}, "store_revision": revision})
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

package main

import (
	"bytes"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	CreateRev  int64    `json:"create_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// event is a change of an object.
type event struct {
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
	kind     string
	revision int64
}

// content is what the store holds. A copy of it can be restored.
type content struct {
	revision int64
	objects  map[string]map[string]object
	events   []event
}

// store is the platform's metadata store.
type store struct {
	address string

	mu sync.Mutex
	content
	era     int
	changed chan struct{}
	server  *http.Server
	// seenAt is when a worker last wrote its entry.
	seenAt map[string]time.Time
}

// heartbeat is the interval at which workers write their entries; an entry is removed after three of them without a write.
const heartbeat = 1200 * time.Millisecond

// startStore starts the store.
func (l *lab) startStore() error {
	host := l.newHost()
	port, err := freePort(host)
	if err != nil {
		return err
	}
	l.store = &store{
		address: host + ":" + strconv.Itoa(port), era: 1, changed: make(chan struct{}), seenAt: make(map[string]time.Time),
		content: content{revision: 1, objects: make(map[string]map[string]object)},
	}
	go func() {
		for {
			time.Sleep(heartbeat / 4)
			l.store.expire()
		}
	}()
	return l.store.open()
}

// open makes the store answer.
func (s *store) open() error {
	ln, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(s.serve)}
	s.mu.Lock()
	s.server = server
	s.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	return nil
}

// shut makes the store unreachable and breaks its connections.
func (s *store) shut() {
	s.mu.Lock()
	server := s.server
	s.server = nil
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

func (s *store) isShut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server == nil
}

// snapshot returns a copy of what the store holds.
func (s *store) snapshot() content {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := content{revision: s.revision, objects: make(map[string]map[string]object), events: slices.Clone(s.events)}
	for kind, byName := range s.objects {
		c.objects[kind] = maps.Clone(byName)
	}
	return c
}

// restore replaces what the store holds by the copy.
func (s *store) restore(c content) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content = c
	s.era++
}

// expire removes the entries of workers that have been silent for three heartbeats. While the store is away it removes none.
func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for name, at := range s.seenAt {
		if now.Sub(at) > 3*heartbeat && s.server != nil {
			s.remove("servers", name)
			delete(s.seenAt, name)
		}
	}
}

// put writes an object as the operator or a worker does; the same value changes nothing.
func (s *store) put(kind, name string, spec any) object {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(kind, name, text)
}

// beat writes the entry of a worker. Only its sequence changes with each write, which is no change of the entry.
func (s *store) beat(name string, spec any) bool {
	if s.isShut() {
		return false
	}
	s.put("servers", name, spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seenAt[name] = time.Now()
	return true
}

// drop removes an object as the operator or a worker does.
func (s *store) drop(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
	delete(s.seenAt, name)
}

func (s *store) set(kind, name string, spec json.RawMessage) object {
	byName := s.objects[kind]
	if byName == nil {
		byName = make(map[string]object)
		s.objects[kind] = byName
	}
	o, ok := byName[name]
	if ok && bytes.Equal(o.Spec, spec) {
		return o
	}
	s.revision++
	if !ok {
		o.Metadata = metadata{Name: name, CreateRev: s.revision, Finalizers: []string{}}
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	byName[name] = o
	s.publish(event{Object: o, kind: kind, revision: s.revision})
	return o
}

func (s *store) remove(kind, name string) bool {
	o, ok := s.objects[kind][name]
	if !ok {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.publish(event{Object: o, Removed: true, kind: kind, revision: s.revision})
	return true
}

func (s *store) publish(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

const objectsPath = "/radishramp/objects/"

// serve answers the calls of entry VMs.
func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	switch {
	case r.Method == http.MethodGet && name != "":
		s.serveOne(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet:
		s.serveList(w, r, kind)
	default:
		s.serveWrite(w, r, kind, name)
	}
}

func (s *store) serveOne(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (s *store) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	items := []object{}
	for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		if name > r.URL.Query().Get("after") {
			items = append(items, s.objects[kind][name])
		}
	}
	revision := s.revision
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		revision, changed := s.revision, s.changed
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if after > revision {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if r.Method != http.MethodDelete && json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	stored, ok := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && ok:
		writeJSON(w, http.StatusConflict, stored)
	case r.Method != http.MethodPost && !ok:
		w.WriteHeader(http.StatusNotFound)
	case o.Metadata.Revision != 0 && ok && o.Metadata.Revision != stored.Metadata.Revision:
		writeJSON(w, http.StatusConflict, stored)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
	default:
		writeJSON(w, http.StatusOK, s.set(kind, name, o.Spec))
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

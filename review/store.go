package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

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
	Status   json.RawMessage `json:"status"`
}

type change struct {
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
	kind     string
	revision int64
}

// store stands in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	changes  []change
	changed  chan struct{}
	address  string
}

func newStore(e *env) (*store, error) {
	s := &store{revision: 1, objects: make(map[string]map[string]object), changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /radishramp/objects/{kind}", s.list)
	mux.HandleFunc("POST /radishramp/objects/{kind}", s.create)
	mux.HandleFunc("PUT /radishramp/objects/{kind}/{name}", s.replace)
	mux.HandleFunc("DELETE /radishramp/objects/{kind}/{name}", s.remove)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(listener) }()
	e.closers = append(e.closers, func() { _ = server.Close() })
	return s, nil
}

func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, text)
}

func (s *store) write(kind, name string, spec json.RawMessage) object {
	s.revision++
	o := object{Spec: spec, Status: json.RawMessage("null")}
	o.Metadata = metadata{Name: name, Revision: s.revision, CreateRev: s.revision, Finalizers: []string{}}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	if old, ok := s.objects[kind][name]; ok {
		o.Metadata.CreateRev = old.Metadata.CreateRev
	}
	s.objects[kind][name] = o
	s.publish(change{Object: o, kind: kind, revision: s.revision})
	return o
}

func (s *store) publish(c change) {
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("watch") {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for name, o := range s.objects[r.PathValue("kind")] {
		if name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, k int) bool { return items[i].Metadata.Name < items[k].Metadata.Name })
	respond(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "store_revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.changes {
			if c.kind == r.PathValue("kind") && c.revision > after {
				events = append(events, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		isOver := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
				isOver = true
			}
		}
		if len(events) > 0 || isOver {
			respond(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
	}
}

func (s *store) create(w http.ResponseWriter, r *http.Request) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.objects[r.PathValue("kind")][o.Metadata.Name]; ok {
		respond(w, http.StatusConflict, old)
		return
	}
	respond(w, http.StatusOK, s.write(r.PathValue("kind"), o.Metadata.Name, o.Spec))
}

func (s *store) replace(w http.ResponseWriter, r *http.Request) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[r.PathValue("kind")][r.PathValue("name")]
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		respond(w, http.StatusConflict, old)
	default:
		respond(w, http.StatusOK, s.write(r.PathValue("kind"), r.PathValue("name"), o.Spec))
	}
}

func (s *store) remove(w http.ResponseWriter, r *http.Request) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.publish(change{Object: o, Removed: true, kind: kind, revision: s.revision})
	respond(w, http.StatusOK, o)
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

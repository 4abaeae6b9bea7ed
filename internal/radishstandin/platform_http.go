package radishstandin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishplatform"
)

// Handler serves the object API and the control endpoints /control/faults, /control/vms and /control/counts.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{key}", p.getObject)
	mux.HandleFunc("PUT /v1/objects/{key}", p.putObject)
	mux.HandleFunc("DELETE /v1/objects/{key}", p.deleteObject)
	mux.HandleFunc("GET /v1/keys", func(w http.ResponseWriter, r *http.Request) {
		keys, err := p.List(r.Context(), r.FormValue("prefix"))
		writeJSON(w, keys, err)
	})
	mux.HandleFunc("GET /v1/vms", func(w http.ResponseWriter, r *http.Request) {
		vms, err := p.VMs(r.Context())
		writeJSON(w, vms, err)
	})
	mux.HandleFunc("POST /control/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.SetFaults(f)
	})
	mux.HandleFunc("POST /control/vms", func(w http.ResponseWriter, r *http.Request) {
		var vm radish.VM
		if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.SetVM(vm)
	})
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, p.Counts(), nil)
	})
	return mux
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	var obj radish.Object
	var err error
	if r.FormValue("wait_ms") == "" {
		obj, err = p.Get(r.Context(), key)
	} else {
		after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
		wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
		obj, err = p.Watch(r.Context(), key, after, time.Duration(wait)*time.Millisecond)
		if errors.Is(err, radish.ErrNotFound) {
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(radishplatform.VersionHeader, strconv.FormatUint(obj.Version, 10))
	_, _ = w.Write(obj.Value)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, radish.MaxObjectBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	ifVersion, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match: a version number is required", http.StatusBadRequest)
		return
	}
	// An update that has been received takes effect even if its caller disconnects.
	version, err := p.Put(context.WithoutCancel(r.Context()), r.PathValue("key"), body, ifVersion)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(radishplatform.VersionHeader, strconv.FormatUint(version, 10))
}

func (p *Platform) deleteObject(w http.ResponseWriter, r *http.Request) {
	ifVersion, _ := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err := p.Delete(r.Context(), r.PathValue("key"), ifVersion); err != nil {
		writeError(w, err)
	}
}

func writeJSON(w http.ResponseWriter, value any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, radish.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, radish.ErrConflict):
		w.WriteHeader(http.StatusPreconditionFailed)
	case errors.Is(err, radish.ErrUnavailable):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		// The connection is aborted, so that the caller cannot determine whether its update took effect.
		panic(http.ErrAbortHandler)
	}
}

package radishserve

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/google/uuid"

	"radishramp.example/radishramp/internal/radishburn"
	"radishramp.example/radishramp/internal/radishpipeline"
	"radishramp.example/radishramp/internal/radishtarget"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

// Status is the response to GET /v1/status: the state of an entry VM.
type Status struct {
	VM          string                     `json:"vm"`
	DataCentre  string                     `json:"data_centre"`
	Ready       bool                       `json:"ready"`
	Generation  uint64                     `json:"generation"`
	ChangeID    string                     `json:"change_id"`
	By          string                     `json:"by"`
	Steward     string                     `json:"steward"`
	StewardTerm uint64                     `json:"steward_term"`
	Candidates  []string                   `json:"candidates"`
	LinkedPeers []string                   `json:"linked"`
	InFlight    int                        `json:"in_flight"`
	Targets     []radishtarget.Status      `json:"targets"`
	Drains      []*radishpeerpb.LocalDrain `json:"drains"`
}

// BurnReport is the response to GET /v1/burn: an entry VM's counts of requests and its cost of each service.
type BurnReport struct {
	VM         string                         `json:"vm"`
	Export     radishburn.Export              `json:"export"`
	Objectives map[string]float64             `json:"objectives"`
	Costs      map[string]radishpipeline.Cost `json:"costs"`
}

func (s *Server) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", s.metrics.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !s.isReady() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.status()) })
	mux.HandleFunc("GET /v1/burn", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.burnReport()) })
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("POST /v1/drains", s.postDrain)
	mux.HandleFunc("DELETE /v1/drains/{id}", s.deleteDrain)
	return mux
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Server) status() Status {
	steward, term := s.currentSteward()
	status := Status{
		VM: s.Settings.VM.Name, DataCentre: s.Settings.VM.DataCentre, Ready: s.isReady(),
		Steward: steward, StewardTerm: term, Candidates: s.roster.Candidates(), LinkedPeers: s.peerNode.Linked(),
		InFlight: s.admission.InFlight(), Targets: s.targetTable.Status(), Drains: s.drains.List(),
	}
	if c := s.configHolder.Current(); c != nil {
		status.Generation = c.Snapshot.Head.Generation
		status.ChangeID = c.Snapshot.Head.ChangeID
		status.By = c.Snapshot.Head.By
	}
	return status
}

func (s *Server) burnReport() BurnReport {
	report := BurnReport{VM: s.Settings.VM.Name, Export: s.burn.Export(), Costs: s.costs.Snapshot(), Objectives: make(map[string]float64)}
	if rules := s.rules(); rules != nil {
		for name, o := range rules.Objectives {
			report.Objectives[name] = o.Attainment
		}
	}
	return report
}

// DrainRequest is the body of POST /v1/drains: an operator's request to drain a data centre or a target.
type DrainRequest struct {
	DataCentre string `json:"data_centre"`
	Target     string `json:"target"`
	By         string `json:"by"`
	Comment    string `json:"comment"`
}

func (s *Server) postDrain(w http.ResponseWriter, r *http.Request) {
	var request DrainRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if (request.DataCentre == "") == (request.Target == "") {
		http.Error(w, "exactly one of data_centre and target is required", http.StatusBadRequest)
		return
	}
	if request.By == "" || request.Comment == "" {
		http.Error(w, "by and comment are required", http.StatusBadRequest)
		return
	}
	drain := &radishpeerpb.LocalDrain{
		Id: uuid.NewString(), DataCentre: request.DataCentre, Target: request.Target, By: request.By,
		Comment: request.Comment, AtUnixMs: time.Now().UnixMilli(),
	}
	s.mergeDrain(drain)
	writeJSON(w, drain)
}

func (s *Server) deleteDrain(w http.ResponseWriter, r *http.Request) {
	for _, drain := range s.drains.List() {
		if drain.GetId() != r.PathValue("id") {
			continue
		}
		lifted := &radishpeerpb.LocalDrain{
			Id: drain.GetId(), DataCentre: drain.GetDataCentre(), Target: drain.GetTarget(), By: drain.GetBy(),
			Comment: drain.GetComment(), AtUnixMs: drain.GetAtUnixMs(), Lifted: true,
		}
		s.mergeDrain(lifted)
		writeJSON(w, lifted)
		return
	}
	http.Error(w, "no such drain", http.StatusNotFound)
}

// mergeDrain applies an operator's change of a drain and sends it to the peers.
func (s *Server) mergeDrain(drain *radishpeerpb.LocalDrain) {
	if s.drains.Merge([]*radishpeerpb.LocalDrain{drain}) {
		s.updateTargets()
		s.heartbeats.triggerSend()
	}
}

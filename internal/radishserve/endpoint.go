package radishserve

import (
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"

	"radishramp.example/radishramp/internal/radishconn"
	"radishramp.example/radishramp/internal/radishgroup"
)

// operatorDrainTimeout is how long a VM that shuts down waits for the requests of operators; a profile takes longer.
const operatorDrainTimeout = 2 * time.Second

// endpoint is an HTTP server whose connections can be drained.
type endpoint struct {
	server   *http.Server
	conns    *radishconn.Limiter
	listener net.Listener
}

func (s *Server) newCallerEndpoint(listener net.Listener) *endpoint {
	e := s.newEndpoint("caller", listener, s.entry.Handler())
	e.server.ReadTimeout, e.server.WriteTimeout = s.Settings.Caller.ReadTimeout, s.Settings.Caller.WriteTimeout
	return e
}

func (s *Server) newOperatorEndpoint(listener net.Listener) *endpoint {
	return s.newEndpoint("operator", listener, s.operatorHandler())
}

func (s *Server) newEndpoint(name string, listener net.Listener, handler http.Handler) *endpoint {
	log := s.Log.Named(name)
	conns := &radishconn.Limiter{Log: log}
	return &endpoint{
		server: &http.Server{
			Handler: s.closeIfLeaving(radishconn.Handler(handler)), ReadHeaderTimeout: readHeaderTimeout,
			ConnContext: radishconn.WithConn, ConnState: conns.ConnState,
		},
		conns:    conns,
		listener: conns.Listener(&radishconn.HeadListener{Listener: listener, OnDrop: radishconn.DropReporter(s.metrics, log)}),
	}
}

// addTo serves the endpoint until the group is stopped.
func (e *endpoint) addTo(group *run.Group) { radishgroup.AddHTTPServer(group, e.server, e.listener) }

// closeIfLeaving tells clients to open their next connection to another VM once this one shuts down.
func (s *Server) closeIfLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.shuttingDown.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

package radishsite

import (
	"context"
	"reflect"
	"runtime/debug"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// reloadInterval is how often the settings are looked at without a signal.
const reloadInterval = 2 * time.Second

// useSite takes settings into use; addresses hold until the next start.
func (s *Server) useSite(site *radish.PlatformSettings) {
	s.site.Store(site)
	if site.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(site.MemoryMB) * (1 << 20)))
	}
}

// followSettings takes changed settings into use until ctx ends.
func (s *Server) followSettings(ctx context.Context) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.Changed:
			s.reload("signal")
		case <-ticker.C:
			s.reload("interval")
		}
	}
}

func (s *Server) reload(source string) {
	if s.Reload == nil {
		return
	}
	site, err := s.Reload()
	if err != nil {
		// What is in use is kept until the file is whole again.
		s.Log.Error("settings not reloaded", "source", source, "error", err.Error())
		return
	}
	old := s.site.Load()
	if reflect.DeepEqual(old, site) {
		return
	}
	s.useSite(site)
	needsRestart := old.CallerAddress != site.CallerAddress || old.ReadyAddress != site.ReadyAddress || old.PeerAddress != site.PeerAddress ||
		old.StoreAddress != site.StoreAddress || old.VM != site.VM || old.DataCentre != site.DataCentre
	s.Log.Info("settings reloaded", "source", source, "needs_restart", needsRestart)
	s.peers.update()
}

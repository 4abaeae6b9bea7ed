package radishsite

import (
	"context"
	"reflect"
	"runtime/debug"
	"time"

	"radishramp.example/radishramp/internal/radishmemory"
	"radishramp.example/radishramp/pkg/radish"
)

// reloadInterval is how often the settings are polled for changes.
const reloadInterval = 2 * time.Second

// applySettings makes the settings the current ones. Changed addresses and names take effect only after a restart.
func (s *Server) applySettings(settings *radish.PlatformSettings) {
	s.currentSettings.Store(settings)
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(radishmemory.RuntimeLimit(settings.MemoryMB))
	}
}

// watchSettings applies changed settings until ctx ends.
func (s *Server) watchSettings(ctx context.Context) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.SettingsChanged:
			s.reloadSettings("signal")
		case <-ticker.C:
			s.reloadSettings("interval")
		}
	}
}

func (s *Server) reloadSettings(source string) {
	if s.LoadSettings == nil {
		return
	}
	settings, err := s.LoadSettings()
	if err != nil {
		// Keep the current settings until the file is valid again.
		s.Log.Error("settings not reloaded", "source", source, "error", err.Error())
		return
	}
	previous := s.currentSettings.Load()
	if reflect.DeepEqual(previous, settings) {
		return
	}
	s.applySettings(settings)
	s.Log.Info("settings reloaded", "source", source, "needs_restart", needsRestart(s.InitialSettings, settings))
	s.peers.updateLinks()
}

// needsRestart reports whether the settings differ from those at the start in a field that is read only then.
func needsRestart(initial, current *radish.PlatformSettings) bool {
	return initial.CallerAddress != current.CallerAddress || initial.ReadyAddress != current.ReadyAddress ||
		initial.PeerAddress != current.PeerAddress || initial.StoreAddress != current.StoreAddress ||
		initial.VM != current.VM || initial.DataCentre != current.DataCentre ||
		initial.ShutdownGrace != current.ShutdownGrace || initial.Cores != current.Cores ||
		initial.HasExposureLimit != current.HasExposureLimit
}

package radish

import "time"

// CallerLimits bounds how slowly callers may send and read, and what a VM holds for them. A zero field stands for its default.
type CallerLimits struct {
	// BodyTimeout is the time in which the next 64 kB of a body, or what is left of it, must arrive.
	BodyTimeout time.Duration
	// SendTimeout is the time in which a caller must take the next 32 kB of a response.
	SendTimeout time.Duration
	// MaxQueuedBytes is how much of one response waits for a caller that does not read.
	MaxQueuedBytes int64
}

// Defaults of [CallerLimits]. A caller that sends or reads 7 kB a second stays within them.
const (
	DefaultBodyTimeout    = 10 * time.Second
	DefaultSendTimeout    = 10 * time.Second
	DefaultMaxQueuedBytes = 1 << 20
)

// WithDefaults returns the limits with defaults for the fields that are not set.
func (l CallerLimits) WithDefaults() CallerLimits {
	if l.BodyTimeout <= 0 {
		l.BodyTimeout = DefaultBodyTimeout
	}
	if l.SendTimeout <= 0 {
		l.SendTimeout = DefaultSendTimeout
	}
	if l.MaxQueuedBytes <= 0 {
		l.MaxQueuedBytes = DefaultMaxQueuedBytes
	}
	return l
}

package radishhedge

import "time"

const (
	// limitSeconds is the number of seconds for which calls are counted. Their number limits how many unused copies are kept.
	limitSeconds = 10
	// burstShare is the number of unused copies that are kept, as a share of the calls of the last limitSeconds.
	burstShare = 0.1
)

// limit is how many copies of the calls of one service may be sent. It starts with none and grows by the share with each call, so that the
// copies never exceed the share of the calls, whatever the number of VMs.
type limit struct {
	// copies is the number of unused copies.
	copies float64
	// calls counts the calls by second; second is the one of the latest call.
	calls  [limitSeconds]int
	second int64
}

// recordCall counts a call and adds its share of a copy.
func (l *limit) recordCall(share float64, now time.Time) {
	l.advance(now)
	l.calls[l.second%limitSeconds]++
	l.copies += share
}

// take uses up one copy and reports whether there was one.
func (l *limit) take(now time.Time) bool {
	l.advance(now)
	l.copies = min(l.copies, l.burst())
	if l.copies < 1 {
		return false
	}
	l.copies--
	return true
}

// burst returns how many unused copies may be kept.
func (l *limit) burst() float64 {
	calls := 0
	for _, n := range l.calls {
		calls += n
	}
	return burstShare * float64(calls)
}

// advance forgets the calls of the seconds that are over. A clock that goes back changes nothing.
func (l *limit) advance(now time.Time) {
	second := now.Unix()
	if second-l.second >= limitSeconds {
		clear(l.calls[:])
		l.second = second
	}
	for l.second < second {
		l.second++
		l.calls[l.second%limitSeconds] = 0
	}
}

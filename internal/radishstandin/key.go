package radishstandin

import (
	"time"

	"github.com/google/uuid"
)

// UUIDv7At returns a version 7 UUID with the given timestamp. Tests that run on the fake clock of testing/synctest need
// it, as uuid.NewV7 does not follow that clock.
func UUIDv7At(t time.Time) uuid.UUID {
	id := uuid.New()
	ms := t.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6] = id[6]&0x0f | 0x70
	return id
}

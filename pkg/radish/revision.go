package radish

import (
	"errors"
	"fmt"
	"strconv"
)

// ErrInvalidRevision reports an era or a revision number that no store can have.
var ErrInvalidRevision = errors.New("era or revision number is out of range")

// Era counts how often the platform's store has come back from an older copy of itself. Its revision numbers then start again from that of the
// copy, so that they are comparable only within an era. It is 0 at a store that does not report it.
type Era int64

// Revision is a state of the platform's store. A greater one is newer: the era is compared before the number. The zero value is before all states.
type Revision int64

const (
	revisionNumberBits = 48
	// MaxRevisionNumber is the largest number of a revision within its era.
	MaxRevisionNumber = 1<<revisionNumberBits - 1
	// MaxEra is the largest era.
	MaxEra Era = 1<<(63-revisionNumberBits) - 1
)

// NewRevision returns the revision with the number in the era, or [ErrInvalidRevision].
func NewRevision(era Era, number int64) (Revision, error) {
	if era < 0 || era > MaxEra || number < 0 || number > MaxRevisionNumber {
		return 0, fmt.Errorf("%w: era %d, number %d", ErrInvalidRevision, era, number)
	}
	return Revision(int64(era)<<revisionNumberBits | number), nil
}

// Era returns the era of the revision.
func (r Revision) Era() Era { return Era(r >> revisionNumberBits) }

// Number returns the number of the revision within its era.
func (r Revision) Number() int64 { return int64(r) & MaxRevisionNumber }

// String returns the era and the number, or only the number where there is no era.
func (r Revision) String() string {
	number := strconv.FormatInt(r.Number(), 10)
	if r.Era() == 0 {
		return number
	}
	return strconv.FormatInt(int64(r.Era()), 10) + "/" + number
}

// EraObserver learns the eras that the responses of the platform's store report.
type EraObserver interface {
	// ObserveEra is called for each response with an era that is not lower than the one before.
	ObserveEra(era Era)
	// ObserveInvalidEra is called for a response whose era is lower than the one before, or is none.
	ObserveInvalidEra(value string)
}

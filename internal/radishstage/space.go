package radishstage

import (
	"errors"
	"strconv"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishbatch"
	"radishramp.example/radishramp/pkg/radishroute"
)

// reserveSpace records that the results of a call take up space from its start, and returns the name of the record. Plans without an urgency
// reserve nothing.
func (c *Coordinator) reserveSpace(t radish.Target, batch *radishroute.BatchSettings, items []*radishbatch.Item, now time.Time) string {
	bytes, isReserved := int64(0), false
	for _, item := range items {
		bytes += item.ResultBytes
		if j := c.owners[item]; j != nil && j.plan.Urgency != nil {
			isReserved = true
		}
	}
	if !isReserved {
		return ""
	}
	c.reservations++
	name := "call " + strconv.FormatUint(c.reservations, 10)
	timeout := callTimeoutFactor * (batch.CallTime + time.Duration(len(items))*batch.PieceTime)
	c.stateOf(t).space.Add(name, bytes, now, now.Add(timeout+batch.ResultTTL))
	return name
}

// endReservation replaces the record of a call's space by those of its results. If its response was lost, the results stay at the target until
// they expire.
func (c *Coordinator) endReservation(call *finishedCall, s *targetState, now time.Time) {
	if call.reservation == "" {
		return
	}
	bytes := s.space.BytesOf(call.reservation)
	s.space.Remove(call.reservation, now)
	mayHaveRun := call.err != nil && !errors.Is(call.err, radish.ErrRejected) && !errors.Is(call.err, radish.ErrNotSent)
	if mayHaveRun {
		s.space.Add(call.reservation, bytes, now, now.Add(call.batch.ResultTTL))
	}
}

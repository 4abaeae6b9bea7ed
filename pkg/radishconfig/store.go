package radishconfig

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishrule"
)

// HeadKey is the key of the head object, whose conditional update accepts a configuration.
const HeadKey = "config-head"

const (
	shardPrefix = "config-shard-"
	// shardCount is the number of shards. It is large enough to keep the shards of 26,000 teams well under the size
	// limit of an object and small enough to keep the head small.
	shardCount = 32
	// digestBytes is the length to which the SHA-256 digest of a shard is truncated.
	digestBytes = 12
	// maxWriteAttempts is the maximum number of attempts to write an object.
	maxWriteAttempts = 8
)

// Store reads and writes configurations in the platform.
type Store struct {
	Platform radish.Platform
}

// Load reads the accepted configuration. It returns radish.ErrNotFound if none has been accepted yet.
func (s *Store) Load(ctx context.Context) (*Snapshot, error) {
	obj, err := s.Platform.Get(ctx, HeadKey)
	if err != nil {
		return nil, err
	}
	head, err := parseHead(obj)
	if err != nil {
		return nil, err
	}
	return s.loadShards(ctx, head)
}

// Advance returns the configuration of a head object. It applies the head's recent changes to base if they reach back
// to it, and reads the shards otherwise. base may be nil.
func (s *Store) Advance(ctx context.Context, base *Snapshot, obj radish.Object) (*Snapshot, error) {
	head, err := parseHead(obj)
	if err != nil {
		return nil, err
	}
	if next, ok := AdvanceByDeltas(base, head); ok {
		return next, nil
	}
	return s.loadShards(ctx, head)
}

// AdvanceByDeltas applies the head's recent changes to base. It returns false if base is nil or the changes do not
// reach back to it.
func AdvanceByDeltas(base *Snapshot, head Head) (*Snapshot, bool) {
	if base == nil {
		return nil, false
	}
	deltas, ok := head.deltasAfter(base.Head.Generation)
	if !ok {
		return nil, false
	}
	lines := base.Lines
	for _, d := range deltas {
		lines = applyDelta(lines, d)
	}
	head.Recent = trimRecent(slices.Concat(base.Head.Recent, deltas))
	return &Snapshot{Head: head, Lines: lines}, true
}

func parseHead(obj radish.Object) (Head, error) {
	var head Head
	err := json.Unmarshal(obj.Value, &head)
	return head, trace.Wrap(err, "decode configuration head")
}

func (s *Store) loadShards(ctx context.Context, head Head) (*Snapshot, error) {
	snapshot := &Snapshot{Head: head}
	for _, digest := range head.Shards {
		if digest == "" {
			continue
		}
		lines, err := s.loadShard(ctx, digest)
		if err != nil {
			return nil, trace.Wrap(err, "shard %s", digest)
		}
		snapshot.Lines = append(snapshot.Lines, lines...)
	}
	slices.SortFunc(snapshot.Lines, compareLines)
	return snapshot, nil
}

func (s *Store) loadShard(ctx context.Context, digest string) ([]radishrule.Line, error) {
	obj, err := s.Platform.Get(ctx, shardPrefix+digest)
	if err != nil {
		return nil, err
	}
	if shardDigest(obj.Value) != digest {
		return nil, trace.BadParameter("content does not match its digest")
	}
	var lines []radishrule.Line
	return lines, json.Unmarshal(obj.Value, &lines)
}

func shardDigest(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:digestBytes])
}

// Change is a complete new configuration that an operator submits.
type Change struct {
	// Base is the generation that the operator edited; 0 for the first configuration.
	Base  uint64
	By    string
	Lines []radishrule.Line
}

// Apply validates the change and stores it if Base is still the newest generation. It returns *ConflictError if
// another change was accepted first, and radish.ErrAmbiguous if it is unknown whether this one was accepted.
func (s *Store) Apply(ctx context.Context, change Change) (Head, error) {
	if _, err := radishrule.ParseLines(change.Lines); err != nil {
		return Head{}, err
	}
	version, current, err := s.loadCurrent(ctx)
	if err != nil {
		return Head{}, err
	}
	if current.Head.Generation != change.Base {
		return Head{}, &ConflictError{Winner: current.Head}
	}
	head := Head{Generation: change.Base + 1, ChangeID: uuid.NewString(), By: change.By, At: time.Now().UTC()}
	setSince(change.Lines, current.Lines, head.At)
	head.Recent = trimRecent(append(current.Head.Recent, newDelta(head, current.Lines, change.Lines)))
	if head.Shards, err = s.writeShards(ctx, change.Lines, current.Head.Shards); err != nil {
		return Head{}, err
	}
	return s.acceptHead(ctx, head, version)
}

func newDelta(head Head, before, after []radishrule.Line) Delta {
	d := Delta{Generation: head.Generation, ChangeID: head.ChangeID, By: head.By, At: head.At}
	d.Removed, d.Added = diffLines(before, after)
	return d
}

// loadCurrent returns the version of the head object and the accepted configuration, or 0 and an empty one if none has
// been accepted yet.
func (s *Store) loadCurrent(ctx context.Context) (uint64, *Snapshot, error) {
	obj, err := s.Platform.Get(ctx, HeadKey)
	if errors.Is(err, radish.ErrNotFound) {
		return 0, &Snapshot{}, nil
	}
	if err != nil {
		return 0, nil, err
	}
	snapshot, err := s.Advance(ctx, nil, obj)
	return obj.Version, snapshot, err
}

// setSince sets the Since time of each line: the earlier time if the line was already in the configuration, else now.
func setSince(lines, before []radishrule.Line, now time.Time) {
	since := make(map[lineKey]time.Time, len(before))
	for _, line := range before {
		since[keyOf(line)] = line.Since
	}
	for i := range lines {
		lines[i].Since = now
		if t, ok := since[keyOf(lines[i])]; ok {
			lines[i].Since = t
		}
	}
}

// writeShards writes the shards whose content changed and returns the digests of all of them.
func (s *Store) writeShards(ctx context.Context, lines []radishrule.Line, previous []string) ([]string, error) {
	shards := make([][]radishrule.Line, shardCount)
	for _, l := range lines {
		i := xxhash.Sum64String(l.Text) % shardCount
		shards[i] = append(shards[i], l)
	}
	digests := make([]string, shardCount)
	for i, shard := range shards {
		if len(shard) == 0 {
			continue
		}
		slices.SortFunc(shard, compareLines)
		value, err := json.Marshal(shard)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if len(value) > radish.MaxObjectBytes {
			return nil, trace.LimitExceeded("shard of %d bytes exceeds the limit of %d bytes", len(value), radish.MaxObjectBytes)
		}
		digests[i] = shardDigest(value)
		if i < len(previous) && previous[i] == digests[i] {
			continue
		}
		if err := s.writeShard(ctx, digests[i], value); err != nil {
			return nil, err
		}
	}
	return digests, nil
}

// writeShard writes a shard. It may be repeated safely: the key contains the digest of the value, so a version conflict
// means that the shard already exists.
func (s *Store) writeShard(ctx context.Context, digest string, value []byte) error {
	_, err := backoff.Retry(ctx, func() (uint64, error) {
		version, err := s.Platform.Put(ctx, shardPrefix+digest, value, 0)
		if errors.Is(err, radish.ErrConflict) {
			return 0, nil
		}
		return version, err
	}, backoff.WithMaxTries(maxWriteAttempts))
	return trace.Wrap(err)
}

// acceptHead writes the head object. An update that fails or has an unknown outcome is sent again with the same expected
// version: it either succeeds or conflicts, and the change id shows whether it conflicts with its own earlier attempt.
// Label send in spec/config.pml models it.
func (s *Store) acceptHead(ctx context.Context, head Head, ifVersion uint64) (Head, error) {
	value, err := json.Marshal(head)
	if err != nil {
		return Head{}, trace.Wrap(err)
	}
	ambiguous := false
	wait := backoff.NewExponentialBackOff()
	for range maxWriteAttempts {
		_, err = s.Platform.Put(ctx, HeadKey, value, ifVersion)
		if err == nil {
			return head, nil
		}
		if errors.Is(err, radish.ErrConflict) {
			var decided bool
			if decided, err = s.resolveConflict(ctx, head); decided {
				return head, err
			}
		}
		ambiguous = ambiguous || errors.Is(err, radish.ErrAmbiguous)
		select {
		case <-ctx.Done():
			return head, trace.Wrap(radish.ErrAmbiguous, "change %s: %v", head.ChangeID, ctx.Err())
		case <-time.After(wait.NextBackOff()):
		}
	}
	if ambiguous {
		return head, trace.Wrap(radish.ErrAmbiguous, "change %s", head.ChangeID)
	}
	return head, err
}

// resolveConflict reads the newest head after a version conflict and reports whether the outcome of the change is
// decided. The error is nil if the change was accepted, *ConflictError if another one was accepted in its place and
// radish.ErrAmbiguous if the head does not show which. Label resolve in spec/config.pml models it.
func (s *Store) resolveConflict(ctx context.Context, head Head) (bool, error) {
	obj, err := s.Platform.Get(ctx, HeadKey)
	if err != nil {
		return false, trace.Wrap(radish.ErrAmbiguous, "change %s: %v", head.ChangeID, err)
	}
	winner, err := parseHead(obj)
	if err != nil {
		return true, err
	}
	if _, accepted := winner.findDelta(head.ChangeID); accepted || winner.ChangeID == head.ChangeID {
		return true, nil
	}
	if winner.Generation < head.Generation {
		// The read is stale: the conflict shows that a newer head exists.
		return false, radish.ErrAmbiguous
	}
	if _, complete := winner.deltasAfter(head.Generation - 1); !complete {
		return true, trace.Wrap(radish.ErrAmbiguous, "change %s: recent changes in the head of generation %d do not reach back to it",
			head.ChangeID, winner.Generation)
	}
	return true, &ConflictError{Winner: winner}
}

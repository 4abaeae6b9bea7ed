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

// HeadKey is the object whose conditional update accepts a configuration.
const HeadKey = "config-head"

const (
	shardPrefix = "config-shard-"
	// bucketCount is the number of shards: enough to keep 26,000 teams well under the limit of a value, and few
	// enough to keep the head small.
	bucketCount = 32
	// digestBytes is the length of a shard's content digest.
	digestBytes = 12
	// applyTries bounds how often an update whose answer was lost is looked up or sent again.
	applyTries = 8
)

// Store reads and writes configurations in the platform.
type Store struct {
	Platform radish.Platform
}

// Load reads the accepted configuration; radish.ErrNotFound before the first one.
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

// Advance returns the configuration of a head object, from the newer deltas if base is close enough behind it
// and from the shards otherwise; base may be nil.
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

// AdvanceByDeltas applies the head's recent changes to base and tells whether they reach back far enough.
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
	return head, trace.Wrap(err, "head object")
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
		return nil, trace.BadParameter("content does not match the digest")
	}
	var lines []radishrule.Line
	return lines, json.Unmarshal(obj.Value, &lines)
}

func shardDigest(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:digestBytes])
}

// Change is a set of lines that an operator wants accepted.
type Change struct {
	// Base is the generation that the change was made from; 0 for the first configuration.
	Base  uint64
	By    string
	Lines []radishrule.Line
}

// Apply has the change accepted if Base is still the newest generation; *ConflictError names the winner if not,
// radish.ErrAmbiguous means that the platform could not tell whether the change was accepted.
func (s *Store) Apply(ctx context.Context, change Change) (Head, error) {
	if _, err := radishrule.ParseLines(change.Lines); err != nil {
		return Head{}, err
	}
	version, current, err := s.current(ctx)
	if err != nil {
		return Head{}, err
	}
	if current.Head.Generation != change.Base {
		return Head{}, &ConflictError{Winner: current.Head}
	}
	head := Head{Generation: change.Base + 1, ChangeID: uuid.NewString(), By: change.By, At: time.Now().UTC()}
	keepSince(change.Lines, current.Lines, head.At)
	head.Recent = trimRecent(append(current.Head.Recent, newDelta(head, current.Lines, change.Lines)))
	if head.Shards, err = s.writeShards(ctx, change.Lines, current.Head.Shards); err != nil {
		return Head{}, err
	}
	return s.acceptHead(ctx, head, version)
}

func newDelta(head Head, before, after []radishrule.Line) Delta {
	d := Delta{Generation: head.Generation, ChangeID: head.ChangeID, By: head.By, At: head.At}
	d.Removed, d.Added = diff(before, after)
	return d
}

func (s *Store) current(ctx context.Context) (uint64, *Snapshot, error) {
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

// keepSince gives lines that stood in the configuration before the time from which they have been in it.
func keepSince(lines, before []radishrule.Line, now time.Time) {
	since := make(map[lineID]time.Time, len(before))
	for _, line := range before {
		since[idOf(line)] = line.Since
	}
	for i := range lines {
		lines[i].Since = now
		if t, ok := since[idOf(lines[i])]; ok {
			lines[i].Since = t
		}
	}
}

// writeShards writes the buckets whose content changed and returns the digests of all.
func (s *Store) writeShards(ctx context.Context, lines []radishrule.Line, before []string) ([]string, error) {
	buckets := make([][]radishrule.Line, bucketCount)
	for _, l := range lines {
		i := xxhash.Sum64String(l.Text) % bucketCount
		buckets[i] = append(buckets[i], l)
	}
	digests := make([]string, bucketCount)
	for i, bucket := range buckets {
		if len(bucket) == 0 {
			continue
		}
		slices.SortFunc(bucket, compareLines)
		value, err := json.Marshal(bucket)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if len(value) > radish.MaxObjectBytes {
			return nil, trace.LimitExceeded("shard of %d bytes is over %d", len(value), radish.MaxObjectBytes)
		}
		digests[i] = shardDigest(value)
		if i < len(before) && before[i] == digests[i] {
			continue
		}
		if err := s.writeShard(ctx, digests[i], value); err != nil {
			return nil, err
		}
	}
	return digests, nil
}

// writeShard is idempotent: the key is the digest of the value, so a conflict means that the shard exists.
func (s *Store) writeShard(ctx context.Context, digest string, value []byte) error {
	_, err := backoff.Retry(ctx, func() (uint64, error) {
		version, err := s.Platform.Put(ctx, shardPrefix+digest, value, 0)
		if errors.Is(err, radish.ErrConflict) {
			return 0, nil
		}
		return version, err
	}, backoff.WithMaxTries(applyTries))
	return trace.Wrap(err)
}

// acceptHead (spec: send) writes the head. An update whose answer was lost is sent again with the same expected version,
// which either makes the change or meets it, told by its id.
func (s *Store) acceptHead(ctx context.Context, head Head, ifVersion uint64) (Head, error) {
	value, err := json.Marshal(head)
	if err != nil {
		return Head{}, trace.Wrap(err)
	}
	ambiguous := false
	wait := backoff.NewExponentialBackOff()
	for range applyTries {
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

// resolveConflict (spec: resolve) tells whether the newest head is the change itself, follows it or beat it.
func (s *Store) resolveConflict(ctx context.Context, head Head) (bool, error) {
	obj, err := s.Platform.Get(ctx, HeadKey)
	if err != nil {
		return false, trace.Wrap(radish.ErrAmbiguous, "change %s: %v", head.ChangeID, err)
	}
	winner, err := parseHead(obj)
	if err != nil {
		return true, err
	}
	if _, accepted := winner.accepted(head.ChangeID); accepted || winner.ChangeID == head.ChangeID {
		return true, nil
	}
	if winner.Generation < head.Generation {
		// A stale read: the conflict shows that a newer head exists.
		return false, radish.ErrAmbiguous
	}
	if _, known := winner.deltasAfter(head.Generation - 1); !known {
		return true, trace.Wrap(radish.ErrAmbiguous, "change %s: generation %d no longer tells", head.ChangeID, winner.Generation)
	}
	return true, &ConflictError{Winner: winner}
}

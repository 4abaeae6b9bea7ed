package radishclaim

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"radishramp.example/radishramp/pkg/radish"
)

// Layout of the claim objects.
const (
	// bucketSeconds is the time span covered by one bucket. Keys created in the same span share a set of objects.
	bucketSeconds = 10
	// shardCount is the number of objects per bucket. It must be the same on all VMs.
	shardCount = 2
	// maxClockSkew is how far the timestamp of a key may be ahead of this VM's clock.
	maxClockSkew = time.Minute
	// objectKeyPrefix is the common prefix of the platform keys of all objects of this package.
	objectKeyPrefix = "claim-"
)

// Key identifies one non-idempotent stage of one caller's request.
type Key struct {
	Team     string
	Pipeline string
	Stage    int
	// ID is the caller's idempotency key, a version 7 UUID, which contains its creation time.
	ID uuid.UUID
}

// ParseID parses a caller's idempotency key. It returns radish.ErrBadKey if the text is not a version 7 UUID.
func ParseID(text string) (uuid.UUID, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return uuid.UUID{}, radish.ErrBadKey
	}
	return id, nil
}

// creationTime returns the timestamp in a version 7 UUID.
func creationTime(id uuid.UUID) time.Time {
	ms := int64(id[0])<<40 | int64(id[1])<<32 | int64(id[2])<<24 | int64(id[3])<<16 | int64(id[4])<<8 | int64(id[5])
	return time.UnixMilli(ms)
}

// CheckAge returns radish.ErrKeyExpired if the key is older than the window, and radish.ErrBadKey if its timestamp is
// further in the future than clock skew can explain.
func CheckAge(id uuid.UUID, window time.Duration) error {
	age := time.Since(creationTime(id))
	if age > window {
		return radish.ErrKeyExpired
	}
	if age < -maxClockSkew {
		return radish.ErrBadKey
	}
	return nil
}

// recordName returns the name of the key's record within its object.
func (k Key) recordName() string {
	return fmt.Sprintf("%s/%s/%d/%s", k.Team, k.Pipeline, k.Stage, k.ID)
}

// objectKey returns the platform key of the object that contains the key's record.
func (k Key) objectKey() string {
	bucket := creationTime(k.ID).Unix() / bucketSeconds
	shard := xxhash.Sum64String(k.recordName()) % shardCount
	return formatObjectKey(bucket, shard)
}

func formatObjectKey(bucket int64, shard uint64) string {
	return fmt.Sprintf("%s%011d-%d", objectKeyPrefix, bucket, shard)
}

// isClaimObjectKey reports whether the text is exactly a platform key that Key.objectKey can return.
func isClaimObjectKey(text string) bool {
	var bucket int64
	var shard uint64
	_, err := fmt.Sscanf(text, objectKeyPrefix+"%d-%d", &bucket, &shard)
	return err == nil && shard < shardCount && text == formatObjectKey(bucket, shard)
}

// outcomeObjectKey returns the platform key of the object for an outcome that is too large to be stored in the record.
func (k Key) outcomeObjectKey(claimID string) string {
	return fmt.Sprintf("%s%011d-outcome-%s", objectKeyPrefix, creationTime(k.ID).Unix()/bucketSeconds, claimID)
}

// objectStartTime returns the start of the time span that an object covers, and whether its platform key can be parsed.
func objectStartTime(objectKey string) (time.Time, bool) {
	var bucket int64
	if _, err := fmt.Sscanf(objectKey, objectKeyPrefix+"%d-", &bucket); err != nil {
		return time.Time{}, false
	}
	return time.Unix(bucket*bucketSeconds, 0), true
}

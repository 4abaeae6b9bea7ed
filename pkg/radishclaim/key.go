package radishclaim

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"radishramp.example/radishramp/pkg/radish"
)

// Sizes of the key space.
const (
	// bucketSeconds is the time span of the keys whose claims share a set of objects.
	bucketSeconds = 10
	// shardCount is the number of objects in a bucket; all VMs must agree on it.
	shardCount = 2
	// maxSkew is how far a key may lie in the future of this VM's clock.
	maxSkew = time.Minute
	// objectPrefix starts the keys of claim objects.
	objectPrefix = "claim-"
)

// Key names one non-idempotent stage of one caller's request.
type Key struct {
	Team     string
	Pipeline string
	Stage    int
	// ID is the caller's idempotency key, a version 7 UUID, which carries the time of its making.
	ID uuid.UUID
}

// ParseID checks a caller's idempotency key; radish.ErrBadKey when it is not a version 7 UUID.
func ParseID(text string) (uuid.UUID, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return uuid.UUID{}, radish.ErrBadKey
	}
	return id, nil
}

// made returns the time that the key carries.
func made(id uuid.UUID) time.Time {
	ms := int64(id[0])<<40 | int64(id[1])<<32 | int64(id[2])<<24 | int64(id[3])<<16 | int64(id[4])<<8 | int64(id[5])
	return time.UnixMilli(ms)
}

// CheckAge returns radish.ErrKeyExpired for a key older than the window and radish.ErrBadKey for one from the future.
func CheckAge(id uuid.UUID, window time.Duration) error {
	age := time.Since(made(id))
	if age > window {
		return radish.ErrKeyExpired
	}
	if age < -maxSkew {
		return radish.ErrBadKey
	}
	return nil
}

// name identifies the record within its object.
func (k Key) name() string {
	return fmt.Sprintf("%s/%s/%d/%s", k.Team, k.Pipeline, k.Stage, k.ID)
}

// object returns the platform key of the object that holds the record.
func (k Key) object() string {
	bucket := made(k.ID).Unix() / bucketSeconds
	shard := xxhash.Sum64String(k.name()) % shardCount
	return objectName(bucket, shard)
}

func objectName(bucket int64, shard uint64) string {
	return fmt.Sprintf("%s%011d-%d", objectPrefix, bucket, shard)
}

// isClaimObject tells whether the platform key is one that object returns for some key.
func isClaimObject(object string) bool {
	var bucket int64
	var shard uint64
	_, err := fmt.Sscanf(object, objectPrefix+"%d-%d", &bucket, &shard)
	return err == nil && shard < shardCount && object == objectName(bucket, shard)
}

// outcomeObject returns the platform key for an outcome that is too large for its record.
func (k Key) outcomeObject(claimID string) string {
	return fmt.Sprintf("%s%011d-outcome-%s", objectPrefix, made(k.ID).Unix()/bucketSeconds, claimID)
}

// objectTime returns the start of the time span of the keys of an object.
func objectTime(object string) (time.Time, bool) {
	var bucket int64
	if _, err := fmt.Sscanf(object, objectPrefix+"%d-", &bucket); err != nil {
		return time.Time{}, false
	}
	return time.Unix(bucket*bucketSeconds, 0), true
}

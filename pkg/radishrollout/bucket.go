package radishrollout

import (
	"math"
	"time"
)

const (
	// BucketCount is the number of buckets of a histogram of times; the last one is unbounded (over 38 s).
	BucketCount = 28
	// bucketFactor is the ratio between bounds, well below that of a version that is several times slower.
	bucketFactor = 1.5
	// firstBound is the upper bound of the first bucket.
	firstBound = time.Millisecond
)

// BucketBound returns the upper bound of a bucket; it has no meaning for the last one.
func BucketBound(i int) time.Duration {
	return time.Duration(float64(firstBound) * math.Pow(bucketFactor, float64(i)))
}

// bucketOf returns the bucket of a time.
func bucketOf(took time.Duration) int {
	if took <= firstBound {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(took)/float64(firstBound)) / math.Log(bucketFactor)))
	return min(i, BucketCount-1)
}

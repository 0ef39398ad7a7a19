package sampling

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Under constant demand, a bucket allows as many messages as the rate and the burst add up to.
func TestTokenBucketAllowsRateAndBurst(t *testing.T) {
	is := is.New(t)
	bucket := NewTokenBucket(100, 300)
	sent := 0
	for now := time.Duration(0); now <= 10*time.Second; now += time.Millisecond {
		if bucket.Take(now, 71) {
			sent += 71
		}
	}
	is.True(sent <= 1300)
	is.True(sent > 1300-2*71)
	is.True(!bucket.Take(10*time.Second, 71))
	is.True(bucket.Take(20*time.Second, 300)) // an idle bucket holds at most the burst
	is.True(!bucket.Take(20*time.Second, 1))
}

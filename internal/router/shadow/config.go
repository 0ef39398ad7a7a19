package shadow

import "time"

// Config is the configuration of one pool's Decider.
type Config struct {
	Caps     Caps
	Pressure Pressure
	Health   Health
}

// Caps bounds the resources that copies to one pool may use.
type Caps struct {
	// PerSecond is the number of attempts, retries included, that may reach hosts in any second. A
	// rate below 1 allows one attempt in 1/PerSecond seconds.
	PerSecond float64
	// InFlight is the number of copies that were started and have not ended.
	InFlight int
	// InFlightPerHost is the number of attempts in flight to one candidate host.
	InFlightPerHost int
	// Bytes is the total size of the bodies of all copies, until their Drop or Record.
	Bytes int64
	// Waiting is the number of copies that wait to be started.
	Waiting int
	// MaxWait is how long a copy may wait to be started; it is dropped after that.
	MaxWait time.Duration
	// MaxDuration is the time from a copy's start to the end of its answer; it is canceled after
	// that.
	MaxDuration time.Duration
}

// MaxAnswers returns how many answers, of both sides, may be retained at once.
func (c Caps) MaxAnswers() int { return c.Waiting + 2*(1+maxPairingFactor)*c.InFlight }

// Pressure configures when the live path counts as short of a resource. Each of the first five
// fields is the threshold of one signal: pressure begins where a signal reaches its threshold and
// ends once all signals have stayed below half of theirs.
type Pressure struct {
	Queued         float64       // requests that wait for a host
	BodyFraction   float64       // of the memory for request bodies
	SocketFraction float64       // of the descriptors, of the side that uses more of its own
	Delay          time.Duration // scheduling delay of the goroutine that decides
	Rejections     float64       // rejected requests, decaying over a second

	// HardFactor is the multiple of a threshold from which copies in flight are canceled too.
	HardFactor float64
	// GracePeriod is how long pressure may last before copies in flight are canceled too.
	GracePeriod time.Duration
	// CalmPeriod is the time without any signal before copies start again. It doubles where
	// pressure returns within it.
	CalmPeriod time.Duration
}

// Health configures when the pool is ejected and when it is tried again.
type Health struct {
	Failures   int           // consecutive failures that eject the pool
	MinBackoff time.Duration // until the first trial copy; doubles with each trial that fails
	MaxBackoff time.Duration // between two trials
}

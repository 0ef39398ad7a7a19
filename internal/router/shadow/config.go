package shadow

import "time"

// Config is the configuration of one pool's Decider.
type Config struct {
	Caps     Caps
	Pressure Pressure
	Health   Health
}

// Caps limits the resources that copies to one pool may use. Each field is a maximum.
type Caps struct {
	// PerSecond is the number of attempts, including retries, that may reach hosts in any second. A
	// rate below 1 allows one attempt in 1/PerSecond seconds.
	PerSecond float64
	// InFlight is the number of copies that were started and whose CopyEnded has not been reported.
	InFlight int
	// InFlightPerHost is the number of attempts in flight to one candidate host.
	InFlightPerHost int
	// Bytes is the total size of the request bodies of all copies. A copy's body counts until the
	// copy's Drop or Record.
	Bytes int64
	// Waiting is the number of copies that wait to be started.
	Waiting int
	// MaxWait is how long a copy may wait to be started before it is dropped.
	MaxWait time.Duration
	// MaxDuration is the time from a copy's start to the end of its answer. A copy that takes longer
	// is canceled.
	MaxDuration time.Duration
}

// MaxAnswers returns the maximum number of answers, live and copied, that are retained at once.
func (c Caps) MaxAnswers() int { return c.Waiting + 2*(1+maxPairingFactor)*c.InFlight }

// Pressure configures when the live path counts as short of a resource. Each of the first five
// fields is the threshold of one signal. Pressure begins when a signal reaches its threshold, and
// ends once no signal has exceeded half of its threshold for CalmPeriod.
type Pressure struct {
	Queued         float64       // requests that wait for a host
	BodyFraction   float64       // used fraction of the memory for request bodies
	SocketFraction float64       // used fraction of the client or the host connections, whichever is higher
	Delay          time.Duration // scheduling delay of the goroutine that decides
	Rejections     float64       // rejected requests, decaying with a time constant of one second

	// HardFactor is the multiple of its threshold at which a signal cancels the copies in flight.
	HardFactor float64
	// GracePeriod is how long pressure may last before the copies in flight are canceled.
	GracePeriod time.Duration
	// CalmPeriod is how long every signal must stay at or below half of its threshold before copies
	// start again. The period doubles if pressure returns within it.
	CalmPeriod time.Duration
}

// Health configures when the pool is ejected and when a trial copy is sent to it.
type Health struct {
	Failures   int           // number of consecutive failed copies that ejects the pool
	MinBackoff time.Duration // delay before the first trial copy; each failed trial doubles the delay
	MaxBackoff time.Duration // maximum delay before a trial copy
}

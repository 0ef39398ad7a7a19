package quota

import "time"

// Request is what a lessee asks of the owner of a key.
type Request struct {
	Need     float64 // units without which it can't go on
	Borrowed float64 // units that it used without an owner and has not reported
}

// Response is what the owner answers.
type Response struct {
	Granted    float64       // Need, or 0
	RetryAfter time.Duration // where nothing is granted
}

package quota

import "time"

// Request asks the owner of a key for units and reports borrowed ones.
type Request struct {
	Need     float64 // units that the lessee lacks
	Borrowed float64 // units that the lessee used without an owner and has not reported yet
}

// Response is the owner's answer to a Request.
type Response struct {
	Granted    float64       // Request.Need if the owner grants it, otherwise 0
	RetryAfter time.Duration // how long the lessee waits before it asks again, if nothing is granted
}

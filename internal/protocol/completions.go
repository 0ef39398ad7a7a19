package protocol

import (
	"net/http"
	"time"

	"reachspread/balance"
)

// Completions is the dialect of the router in service: clients post to a single path and receive
// streams of chat completions.
type Completions struct{}

// TimeLeft implements Dialect. It gives the time in microseconds.
func (Completions) TimeLeft(left time.Duration) Field {
	return Field{HeaderTimeLeft, FormatDuration(left)}
}

// RequestID implements Dialect.
func (Completions) RequestID() string { return HeaderID }

// Expects implements Dialect. No header of this dialect names the server that a request is for.
func (Completions) Expects(string) (Field, bool) { return Field{}, false }

// AnswersOther implements Dialect. It returns false, because answers carry no request ID.
func (Completions) AnswersOther(string, HeaderReader) bool { return false }

// Judge implements Dialect. An answer that blames the request does not count as a failure of the
// server. Otherwise the invalid requests of a single client would eject all servers.
func (Completions) Judge(status int, get HeaderReader) AttemptJudgement {
	if status == http.StatusOK {
		return AttemptJudgement{Result: balance.OK}
	}
	if get(HeaderUnprocessed) == "1" && (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) {
		return AttemptJudgement{Result: balance.Full}
	}
	if status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
		return AttemptJudgement{Result: balance.Cancelled, RequestInvalid: true}
	}
	return AttemptJudgement{Result: balance.Error}
}

// Load implements Dialect. It reads the header HeaderLoad.
func (Completions) Load(get HeaderReader) (*balance.Load, error) {
	text := get(HeaderLoad)
	if text == "" {
		return nil, nil
	}
	return ParseLoad([]byte(text))
}

// ProbePath implements Dialect.
func (Completions) ProbePath() string { return PathLoad }

// ProbeLoad implements Dialect. It returns nil for an empty body.
func (Completions) ProbeLoad(text []byte) (*balance.Load, error) {
	if len(text) == 0 {
		return nil, nil
	}
	return ParseLoad(text)
}

// KeepAlive implements Dialect. It returns 0, because the idle time is in the router's settings.
func (Completions) KeepAlive(HeaderReader) time.Duration { return 0 }

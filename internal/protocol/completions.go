package protocol

import (
	"net/http"
	"time"

	"reachspread/balance"
)

// Completions is the dialect of the router in service: one path, streams of chat completions.
type Completions struct{}

// TimeLeft implements Dialect.
func (Completions) TimeLeft(left time.Duration) Field {
	return Field{HeaderTimeLeft, FormatDuration(left)}
}

// RequestID implements Dialect.
func (Completions) RequestID() string { return HeaderID }

// Expects implements Dialect: no header names the server that a request is for.
func (Completions) Expects(string) (Field, bool) { return Field{}, false }

// AnswersOther implements Dialect: answers carry no ID.
func (Completions) AnswersOther(string, HeaderReader) bool { return false }

// Judge implements Dialect. An answer that finds the request at fault is no failure of the server:
// otherwise one client's bad requests would eject the whole fleet.
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

// Load implements Dialect.
func (Completions) Load(get HeaderReader) (*balance.Load, error) {
	text := get(HeaderLoad)
	if text == "" {
		return nil, nil
	}
	return ParseLoad([]byte(text))
}

// ProbePath implements Dialect.
func (Completions) ProbePath() string { return PathLoad }

// ProbeLoad implements Dialect.
func (Completions) ProbeLoad(text []byte) (*balance.Load, error) {
	if len(text) == 0 {
		return nil, nil
	}
	return ParseLoad(text)
}

// KeepAlive implements Dialect: the settings have it.
func (Completions) KeepAlive(HeaderReader) time.Duration { return 0 }

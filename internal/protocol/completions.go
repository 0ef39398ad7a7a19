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

// Expects implements Dialect: servers can't be told whom a request is meant for.
func (Completions) Expects(string) (Field, bool) { return Field{}, false }

// Foreign implements Dialect: answers carry no id.
func (Completions) Foreign(string, Header) bool { return false }

// Judge implements Dialect. An answer that blames the request says nothing against the server: held against it, one client's
// bad requests would shut out the whole fleet.
func (Completions) Judge(status int, get Header) Judgement {
	if status == http.StatusOK {
		return Judgement{Result: balance.OK}
	}
	if get(HeaderUnprocessed) == "1" && (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) {
		return Judgement{Result: balance.Full}
	}
	if status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
		return Judgement{Result: balance.Cancelled, Unfit: true}
	}
	return Judgement{Result: balance.Error}
}

// Load implements Dialect.
func (Completions) Load(get Header) (*balance.Load, error) {
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

// KeepAlive implements Dialect: the settings tell it.
func (Completions) KeepAlive(Header) time.Duration { return 0 }

package dataplane

import (
	"errors"

	"github.com/valyala/fasthttp"

	"reachspread/balance"
	"reachspread/internal/protocol"
	"reachspread/internal/system/deciders/configuration"
)

// charsPerToken is the assumed length of a token, in bytes of the body, for a request that does not
// state its number of tokens.
const charsPerToken = 4

// request is the data from a request's headers that planning needs.
type request struct {
	route   *configuration.Route
	arrival balance.Arrival
	usage   protocol.TokenUsage
	counted bool   // the request states its usage
	model   string // the model that the request names, empty for none
}

// errNoID is returned for a request without an ID.
var errNoID = errors.New(protocol.HeaderRequestID + " is missing")

// readRequest parses the headers that the balancer and the quota need.
func readRequest(h *fasthttp.RequestHeader, route *configuration.Route, bodyLen int) (*request, error) {
	get := func(name string) string { return string(h.Peek(name)) }
	if get(protocol.HeaderRequestID) == "" {
		return nil, errNoID
	}
	r := &request{route: route, model: get(protocol.HeaderModel), arrival: balance.Arrival{Class: route.ClassName(), TimeLeft: route.Timeout()}}
	timeLeft, given, err := protocol.ParseDeadline(get(protocol.HeaderDeadline))
	if err != nil {
		return nil, err
	}
	if given {
		r.arrival.TimeLeft = min(timeLeft, route.Timeout())
	}
	if r.usage, r.counted, err = protocol.ParseUsage(get(protocol.HeaderTokenUsage)); err != nil {
		return nil, err
	}
	segments, err := protocol.ParsePrompt(get(protocol.HeaderPromptPrefix))
	if err != nil {
		return nil, err
	}
	r.arrival.PromptTokens = float64(bodyLen / charsPerToken)
	if r.counted {
		r.arrival.PromptTokens = r.usage.PromptTokens
	}
	if n := len(segments); n > 0 {
		r.arrival.Session = segments[n-1].ID
		for _, segment := range segments[:n-1] {
			r.arrival.Prefix = segment.ID
			r.arrival.PrefixTokens += segment.Tokens
		}
	}
	r.arrival.PrefixTokens = min(r.arrival.PrefixTokens, r.arrival.PromptTokens)
	return r, nil
}

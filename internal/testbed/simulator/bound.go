package simulator

import (
	"cmp"
	"slices"

	"reachspread/internal/testbed/hostmodel"
)

// This file computes an upper bound on the value that the hosts could serve in time, whichever
// router sends the requests. The bound uses a fluid model with mean request lengths. Each host runs
// as many requests of a class at once as the class's token latency target allows, prefills only
// tokens that no host can have cached, and is never idle. The classes share the hosts so that the
// total value is highest. Routers may approach the bound but can't exceed it, except where the means
// mislead: in a second in which all requests are short.

// classDemand sums up the requests of a class that clients made within a second.
type classDemand struct{ requests, prefillTokens, answerTokens, promptTokens float64 }

// countDemand adds a request that a client makes now to the demand of its class.
func (w *World) countDemand(f *request) {
	s := f.session
	unread := f.promptTokens - s.prefixTokens
	if s.cachedTokens > 0 && s.askedAt >= w.noHostsAt {
		unread = min(unread, f.promptTokens-s.cachedTokens)
	}
	s.askedAt, s.cachedTokens = w.now, f.promptTokens+f.answerTokens
	if len(w.demand) == 0 {
		w.demand = make([]classDemand, len(w.spec.Classes))
	}
	x := &w.demand[s.load.class]
	*x = classDemand{x.requests + 1, x.prefillTokens + float64(max(unread, 1)), x.answerTokens + float64(f.answerTokens), x.promptTokens + float64(f.promptTokens)}
}

// hostRate returns how many requests of a class a host could serve in a second if it did nothing
// else.
func hostRate(h *hostmodel.Config, share float64, c *Class, x classDemand) float64 {
	out, pace := x.answerTokens/x.requests, c.Class.TokenLatencyTarget.Seconds()
	if pace == 0 {
		pace = c.Class.Deadline.Seconds() / out
	}
	each := h.PerSeq.Seconds() + x.promptTokens/x.requests/1000*h.ContextPerK.Seconds()
	if h.ReadPerS > 0 {
		each += x.prefillTokens / x.answerTokens / h.ReadPerS
	}
	at := min(float64(h.Slots), float64(h.Memory)/(x.promptTokens/x.requests+out))
	if each > 0 {
		at = min(at, (pace*share-h.Base.Seconds())/each)
	}
	if at <= 0 {
		return 0
	}
	return at * share / (out * (h.Base.Seconds() + each*at))
}

// servableValue returns, by class, the highest value that the hosts could have served out of the
// demand since the last call. It then resets the demand.
func (w *World) servableValue() []float64 {
	value := make([]float64, len(w.spec.Classes))
	if len(w.demand) == 0 {
		return value
	}
	type hostCapacity struct{ left, share float64 }
	var hosts []hostCapacity
	var configs []*hostmodel.Config
	for _, h := range w.hosts {
		if h.alive && !h.isolated {
			hosts, configs = append(hosts, hostCapacity{1, h.model.Stats(w.now).Capacity}), append(configs, &w.spec.Groups[h.group].Host)
		}
	}
	classes := make([]int, len(w.spec.Classes))
	for i := range classes {
		classes[i] = i
	}
	slices.SortStableFunc(classes, func(a, b int) int {
		return cmp.Compare(w.spec.Classes[b].Class.Value, w.spec.Classes[a].Class.Value)
	})
	rate := func(h, c int) float64 {
		if w.demand[c].requests == 0 {
			return 0
		}
		return hostRate(configs[h], hosts[h].share, &w.spec.Classes[c], w.demand[c])
	}
	for at, c := range classes {
		order := make([]int, len(hosts))
		gain := make([]float64, len(hosts)) // request rate, relative to the rate of the next class on the same host
		for h := range hosts {
			order[h], gain[h] = h, rate(h, c)
			if at+1 < len(classes) {
				if other := rate(h, classes[at+1]); other > 0 {
					gain[h] /= other
				}
			}
		}
		slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(gain[b], gain[a]) })
		left := w.demand[c].requests
		for _, h := range order {
			if r := rate(h, c); r > 0 && left > 0 {
				fraction := min(hosts[h].left, left/r)
				hosts[h].left -= fraction
				left -= fraction * r
			}
		}
		value[c] = (w.demand[c].requests - left) * w.spec.Classes[c].Class.Value
	}
	clear(w.demand)
	return value
}

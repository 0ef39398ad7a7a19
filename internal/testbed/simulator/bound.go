package simulator

import (
	"cmp"
	"slices"

	"reachspread/internal/testbed/hostmodel"
)

// What hosts could serve in time at a moment, whoever asked them: a bound from means, as of a
// fluid. Each host runs as many requests of a class at once as keep its pace, reads what nobody can
// have kept, and is never idle; the classes share hosts as fits their worth best. Routers may come
// near it and not beyond, but for what the means hide: a second whose requests are all short.

// need is what a class asked for within a second.
type need struct{ n, unread, out, prompt float64 }

// needs counts a request that is asked for now.
func (w *World) needs(f *request) {
	s := f.session
	unread := f.prompt - s.shared
	if s.known > 0 && s.askedAt >= w.emptied {
		unread = min(unread, f.prompt-s.known)
	}
	s.askedAt, s.known = w.now, f.prompt+f.out
	if len(w.need) == 0 {
		w.need = make([]need, len(w.s.Classes))
	}
	x := &w.need[s.load.n]
	*x = need{x.n + 1, x.unread + float64(max(unread, 1)), x.out + float64(f.out), x.prompt + float64(f.prompt)}
}

// inTime returns how many requests of a class a host could serve in a second if it did nothing
// else.
func inTime(h *hostmodel.Config, share float64, c *Class, x need) float64 {
	out, pace := x.out/x.n, c.Class.TokenLatencyTarget.Seconds()
	if pace == 0 {
		pace = c.Class.Deadline.Seconds() / out
	}
	each := h.PerSeq.Seconds() + x.prompt/x.n/1000*h.ContextPerK.Seconds()
	if h.ReadPerS > 0 {
		each += x.unread / x.out / h.ReadPerS
	}
	at := min(float64(h.Slots), float64(h.Memory)/(x.prompt/x.n+out))
	if each > 0 {
		at = min(at, (pace*share-h.Base.Seconds())/each)
	}
	if at <= 0 {
		return 0
	}
	return at * share / (out * (h.Base.Seconds() + each*at))
}

// able returns, by class, the most worth that hosts could have given of what was asked for since
// the last call, and begins to count anew.
func (w *World) able() []float64 {
	value := make([]float64, len(w.s.Classes))
	if len(w.need) == 0 {
		return value
	}
	type hostCapacity struct{ left, share float64 }
	var hosts []hostCapacity
	var of []*hostmodel.Config
	for _, h := range w.hosts {
		if h.alive && !h.isolated {
			hosts, of = append(hosts, hostCapacity{1, h.model.Stats(w.now).Capacity}), append(of, &w.s.Groups[h.group].Host)
		}
	}
	classes := make([]int, len(w.s.Classes))
	for i := range classes {
		classes[i] = i
	}
	slices.SortStableFunc(classes, func(a, b int) int {
		return cmp.Compare(w.s.Classes[b].Class.Value, w.s.Classes[a].Class.Value)
	})
	rate := func(h, c int) float64 {
		if w.need[c].n == 0 {
			return 0
		}
		return inTime(of[h], hosts[h].share, &w.s.Classes[c], w.need[c])
	}
	for at, c := range classes {
		order := make([]int, len(hosts))
		gain := make([]float64, len(hosts)) // over what the next class would have of the host
		for h := range hosts {
			order[h], gain[h] = h, rate(h, c)
			if at+1 < len(classes) {
				if other := rate(h, classes[at+1]); other > 0 {
					gain[h] /= other
				}
			}
		}
		slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(gain[b], gain[a]) })
		left := w.need[c].n
		for _, h := range order {
			if r := rate(h, c); r > 0 && left > 0 {
				fraction := min(hosts[h].left, left/r)
				hosts[h].left -= fraction
				left -= fraction * r
			}
		}
		value[c] = (w.need[c].n - left) * w.s.Classes[c].Class.Value
	}
	clear(w.need)
	return value
}

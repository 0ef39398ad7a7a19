package configuration

import (
	"maps"
	"slices"
	"strings"
)

// prefixes indexes the routes of one host by their path prefixes. nil is an index without routes.
type prefixes struct {
	slashed   map[string]*Route // whose prefixes end with a slash, as they should
	unslashed []*Route          // all others
}

// add adds a route, unless another one has the same prefix: then it returns that one.
func (p *prefixes) add(r *Route) *Route {
	if !strings.HasSuffix(r.PathPrefix, "/") {
		for _, o := range p.unslashed {
			if o.PathPrefix == r.PathPrefix {
				return o
			}
		}
		p.unslashed = append(p.unslashed, r)
		return nil
	}
	if o := p.slashed[r.PathPrefix]; o != nil {
		return o
	}
	if p.slashed == nil {
		p.slashed = map[string]*Route{}
	}
	p.slashed[r.PathPrefix] = r
	return nil
}

// remove removes a route.
func (p *prefixes) remove(r *Route) {
	if p.slashed[r.PathPrefix] == r {
		delete(p.slashed, r.PathPrefix)
	}
	p.unslashed = slices.DeleteFunc(p.unslashed, func(o *Route) bool { return o == r })
}

// clone returns a copy that may be changed.
func (p *prefixes) clone() *prefixes {
	if p == nil {
		return &prefixes{}
	}
	return &prefixes{slashed: maps.Clone(p.slashed), unslashed: slices.Clone(p.unslashed)}
}

// longest returns the route with the longest prefix of a path, nil for none. It takes one lookup
// for each slash of the path, however many routes there are.
func (p *prefixes) longest(path string) *Route {
	if p == nil {
		return nil
	}
	var best *Route
	for end := len(path); end > 0 && best == nil; {
		end = strings.LastIndexByte(path[:end], '/')
		if end >= 0 {
			best = p.slashed[path[:end+1]]
		}
	}
	for _, r := range p.unslashed {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

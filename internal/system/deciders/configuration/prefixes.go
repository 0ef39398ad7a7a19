package configuration

import (
	"maps"
	"slices"
	"strings"
)

// prefixIndex indexes the routes of one host by their path prefixes. A nil index has no routes.
type prefixIndex struct {
	withSlash    map[string]*Route // by prefix: routes whose prefixes end with a slash, as they should
	withoutSlash []*Route          // routes whose prefixes don't end with a slash
}

// add adds a route and returns nil. If another route has the same prefix, add returns that route
// and leaves the index unchanged.
func (p *prefixIndex) add(r *Route) *Route {
	if !strings.HasSuffix(r.PathPrefix, "/") {
		for _, o := range p.withoutSlash {
			if o.PathPrefix == r.PathPrefix {
				return o
			}
		}
		p.withoutSlash = append(p.withoutSlash, r)
		return nil
	}
	if o := p.withSlash[r.PathPrefix]; o != nil {
		return o
	}
	if p.withSlash == nil {
		p.withSlash = map[string]*Route{}
	}
	p.withSlash[r.PathPrefix] = r
	return nil
}

// remove removes a route, if the index has it.
func (p *prefixIndex) remove(r *Route) {
	if p.withSlash[r.PathPrefix] == r {
		delete(p.withSlash, r.PathPrefix)
	}
	p.withoutSlash = slices.DeleteFunc(p.withoutSlash, func(o *Route) bool { return o == r })
}

// clone returns a copy of the index, which the caller may change.
func (p *prefixIndex) clone() *prefixIndex {
	if p == nil {
		return &prefixIndex{}
	}
	return &prefixIndex{withSlash: maps.Clone(p.withSlash), withoutSlash: slices.Clone(p.withoutSlash)}
}

// longest returns the route with the longest prefix of a path, or nil. It takes at most one map
// lookup for each slash in the path, however many routes with a final slash there are. It searches
// the other routes linearly.
func (p *prefixIndex) longest(path string) *Route {
	if p == nil {
		return nil
	}
	var best *Route
	for end := len(path); end > 0 && best == nil; {
		end = strings.LastIndexByte(path[:end], '/')
		if end >= 0 {
			best = p.withSlash[path[:end+1]]
		}
	}
	for _, r := range p.withoutSlash {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

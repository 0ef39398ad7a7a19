// Package metrics writes a router's status as figures in the text format that Prometheus and its
// likes scrape.
//
// It has no state and costs nothing until somebody scrapes: each scrape converts the status that it
// is given. The names, units and meanings of the figures are in their help texts, and in
// docs/operators/control.md.
package metrics

// Package metrics writes a router's status as metrics in the text format that Prometheus and
// compatible tools scrape.
//
// It has no state and costs nothing between scrapes, because each scrape converts the current
// status. The help texts and docs/operators/control.md state the names, units and meanings of the
// metrics.
package metrics

// Package pins implements version pins. A pin makes routers serve the requests of a tenant, of a
// route, or of a tenant on a route with one version of a model. The package does no I/O, and a Set
// is immutable. The design is described in docs/design/pins.md.
package pins

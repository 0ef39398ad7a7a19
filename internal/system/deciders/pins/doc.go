// Package pins has the rules of version pins: a pin makes the requests of a tenant, of a route, or
// of a tenant on a route be served by one version of a model. It is pure, and a Set never changes.
// docs/design/pins.md has the design.
package pins

// Package configuration is the operator's configuration: the document as it was sent, patches of
// it, and the typed form that routers act on. It is pure.
//
// A Document keeps each item as the operator wrote it, unknown fields included, so that what is
// read back is what was sent. Compile returns the typed Configuration, or the first fault for which
// the document is rejected.
//
// Store is the state machine that the register replicates: the configuration in force, the version
// pins with their history, and the digests of the orders that were applied, by which an order that
// is sent again is acknowledged again and not applied twice.
package configuration

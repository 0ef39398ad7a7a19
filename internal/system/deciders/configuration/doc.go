// Package configuration implements the operator's configuration: the document as the operator sent
// it, patches of the document, and the typed form that routers use. The package does no I/O.
//
// A Document keeps each item as the operator wrote it, including unknown fields, so that operators
// read back what they sent. Compile returns the typed Configuration, or an error that describes the
// first fault for which the document is rejected.
//
// Store is the state machine that the replicated register runs. Its state is the configuration in
// force, the version pins with their history, and the digests of applied orders. An order is an
// operator's request to change the configuration or the pins. The digests let the store recognize
// an order that is sent again: the store acknowledges it again and does not apply it twice.
package configuration

// Package controlapi is the HTTP interface of the control plane, which every router serves: hosts
// register here, and operators read and change the configuration and the version pins.
//
// The package owns no state. A host's call goes to Hosts, which the router's hub implements; an
// operator's order goes to the Register, which decides on it. All bodies are JSON. An answer that
// is not a success has a body with the field error, and says by its status what the caller may do:
//
//   - 400, 409, 412, 413: the call was not accepted and never will be as it is.
//   - 202, 503 and a connection that breaks: the outcome is unknown. The same call may be made
//     again, here or at another router: the register recognizes an order that it has accepted.
package controlapi

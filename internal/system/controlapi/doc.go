// Package controlapi is the HTTP interface of the control plane, which every router serves: hosts
// register here, and operators read and change the configuration and the version pins.
//
// The package has no state. It passes the calls of hosts to Hosts, which the router's hub
// implements, and the orders of operators to the Register, which decides on them. All bodies are
// JSON. The body of an answer that is not a success has the field error. The status of such an
// answer tells the caller what to do:
//
//   - 400, 409, 412, 413: the call was not accepted, and the same call never will be.
//   - 202, 503 and a broken connection: the outcome is unknown. The caller may repeat the same call
//     at this or another router, because the register recognizes an order that it has accepted.
package controlapi

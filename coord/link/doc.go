// Package link carries messages between processes as frames over TCP. A process opens one connection
// to each address that it sends messages to.
//
// A frame consists of the length of the message in four bytes, big-endian, its Kind in one byte, and
// the message. While bytes arrive, the receiver sends back one byte from time to time, as an
// acknowledgement. From missing acknowledgements the sender notices a connection that delivers
// nothing, and replaces it.
//
// # Guarantees
//
// Send never blocks. A message arrives at most once. It is lost if it can't be sent soon, or if its
// connection breaks. Messages from one sender to one address over one connection arrive in order.
// The memory of queued messages is bounded for each address and in total.
package link

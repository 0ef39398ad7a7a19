// Package link carries messages between processes: frames over TCP, with one connection to each
// address that something is sent to.
//
// A frame is the length of the message in four bytes, big-endian, its Kind in one, and the message.
// The receiver sends one byte back from time to time while bytes arrive (an acknowledgement), so
// that the sender notices a connection that delivers nothing and replaces it.
//
// # Promises
//
// Send never blocks. A message arrives at most once: it is lost if it can't be sent soon, or if its
// connection breaks. Messages from one sender to one address over one connection arrive in order.
// The memory of queued messages is bounded for each address and in total.
package link

// Package message has what routers of the fleet send each other and save, beyond the messages of
// package coordpb: hosts, handoffs, quota requests and grants, peer reports, the stored
// configuration and its changes. It is generated from message.proto. Field numbers and types are
// never changed or used again, as routers of two versions run side by side; names of fields are
// free.
package message

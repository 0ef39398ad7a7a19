// Package coordpb has the messages of the packages under coord, generated from coord.proto and
// feed.proto. Field numbers and types are the wire between routers of different versions and the
// stored form of a register: they are never changed or used again. Names of fields are free.
package coordpb

// Package snapshot encodes and decodes the state that a router stores for its next process. For a
// damaged file it reports what is wrong and at which byte. docs/design/recovery.md says which parts
// of the state are trusted. The package does no I/O: its caller reads and writes the files.
//
// # Files
//
// A router writes its state alternately to the two GenerationFiles and replaces each file
// atomically, so one of them is complete even if the other is damaged. Newest returns the newer
// complete one. The open requests change every second and have a file of their own,
// OpenRequestsFile. After a crash this file may be truncated or contain bytes of two writes; the
// next process then cannot know the open requests.
//
// # Format
//
// All numbers are big-endian. The columns are offset, size in bytes and field:
//
//	0    4 magic "RSSN"
//	4    2 version of the format
//	6    8 generation: the file with the higher number is the newer one
//	14   4 length n of the content
//	18   n content, JSON
//	18+n 8 checksum (xxHash64) of all bytes before it
//
// Decode rejects a whole file with a CorruptError if one bit of it has changed or it is truncated.
package snapshot

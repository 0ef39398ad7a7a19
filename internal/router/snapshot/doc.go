// Package snapshot is what a router stores for its next process: the content, its format, and what
// is wrong with a file at which byte. docs/design/recovery.md says what of it is trusted. The
// package is pure: its owner reads and writes the files.
//
// # Files
//
// A state is written to the two GenerationFiles by turns, each replaced atomically, so that one of
// them is complete whatever happens to the other. Newest picks the younger one. The requests that
// are open change each second and have a file of their own, OpenRequestsFile, which may be cut or
// of two writes after a crash; its reader then has none.
//
// # Format
//
// All numbers have the highest byte first:
//
//	0    4 magic "RSSN"
//	4    2 version of the format
//	6    8 generation: the higher one is the younger
//	14   4 length of the content
//	18   n content, JSON
//	18+n 8 checksum (xxHash64) of all before it
//
// A file that differs in one bit, or is cut, is rejected as a whole (CorruptError).
package snapshot

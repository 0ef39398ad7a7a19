// Package durable has what is common to files that must survive a power loss, in directories that
// one process has to itself.
//
// After a crash a file that was written by WriteFileAtomic has its old or its new content,
// complete; at most a file named NAME.*.new is left beside it, which nobody reads. A ScratchFile
// may have anything. A Lock ends with its process, however that ends.
package durable

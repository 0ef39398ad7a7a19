// Package durable provides functions for files that must survive a power loss, and locks for
// directories that one process uses alone.
//
// After a crash, a file that WriteFileAtomic wrote has either its complete old content or its
// complete new content. At most a temporary file named NAME.*.new is left beside it, which no process
// reads. The content of a ScratchFile is undefined after a crash. A Lock is released when its process
// ends, also when the process crashes or is killed.
package durable

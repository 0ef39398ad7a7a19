// Package embed runs one process of a replicated register: the replica with its disk, a client,
// and the link to the other processes. A program embeds it to store a small state that survives
// the loss of machines. The packages that embed combines can also be used separately.
//
// The caller provides the state as a chain.Machine. A command may be executed twice, so the machine
// has to recognize duplicates, or commands have to be idempotent. When Submit returns without an
// error, the change is on the disks of all processes in the chain. It survives the loss of up to
// Options.Tolerance processes. Read returns a state that was the newest committed one at some time
// after the call began. While no majority of the processes is available, Submit and Read wait for
// one until their context ends.
//
// After a crash, the caller starts the process again with the same Options and folder. The process
// restores its identity and state from the folder, and receives the changes that it missed from the
// other processes. If the folder was lost, the process starts with an empty folder as a new member.
package embed

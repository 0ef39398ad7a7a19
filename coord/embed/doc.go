// Package embed runs one process of a replicated register: the replica with its disk, a client,
// and the link to the other processes. A program embeds it to keep a small state that survives
// the loss of machines. The packages that it joins can be used one by one.
//
// The caller brings the state as a chain.Machine. A command may come twice, so the machine has
// to recognize it, or commands have to be idempotent. When Submit returns without an error the
// change is on the disks of all processes in the chain, and survives the loss of as many of
// them as Options.Tolerance says. Read returns the newest state that was committed after the
// call began. While there is no majority both wait for it, until their context ends.
//
// A process that crashes is started again with the same Options and folder. It comes back with
// its identity and its state, and catches up with what it missed. One whose folder was lost
// starts with an empty folder as a new member.
package embed

package leasesim

import "time"

type doing uint8

const (
	toVoter doing = iota
	toVoters
	toAgent
	wakes
	starts
	begins
	ends
	freezes
	thaws
	acts
	leaves
	lands
	looks
)

type event struct {
	at      time.Duration
	do      doing
	n       int
	gen     uint32
	from    int
	data    []byte
	duty    string
	token   uint64
	checked time.Duration
}

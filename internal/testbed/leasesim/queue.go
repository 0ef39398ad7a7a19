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
	seq     uint64
	do      doing
	n       int
	gen     uint32
	from    int
	data    []byte
	duty    string
	token   uint64
	checked time.Duration
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

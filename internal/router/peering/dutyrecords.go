package peering

import (
	"encoding/json"
	"slices"
)

// record is a scribe's, on its way to another router that may vote. Its frame has recordMark before it.
type record struct {
	From  string          `json:"from"`
	Token uint64          `json:"token"`
	Text  json.RawMessage `json:"text,omitempty"` // without, it says that Token was refused
}

const recordMark = 'R' // a voter's messages begin otherwise

// Keeps has records of other routers be given to take, one at a time.
func (d *Duties) Keeps(take func(token uint64, text []byte) uint64) { d.keeps = take }

// Copy sends a scribe's record to the next living router that may vote. It waits for nobody.
func (d *Duties) Copy(token uint64, text []byte) {
	if d.lines == nil {
		return
	}
	at := slices.Index(d.c.Order, d.c.Self.Name)
	for i := 1; i < len(d.c.Order); i++ {
		to := d.c.Order[(at+i)%len(d.c.Order)]
		if _, lives := d.address(to); lives {
			d.sendRecord(to, record{d.c.Self.Name, token, text})
			return
		}
	}
}

func (d *Duties) sendRecord(to string, r record) {
	if text, err := json.Marshal(r); err == nil {
		d.lines.send(to, append([]byte{recordMark}, text...))
	}
}

// recorded takes another's record, or that the own one was refused.
func (d *Duties) recorded(data []byte) {
	var r record
	if json.Unmarshal(data, &r) != nil || d.c.Routers[r.From] == "" {
		return
	}
	if r.Text == nil {
		d.Refused(ScribeDuty, r.Token)
		return
	}
	d.keeping.Lock()
	defer d.keeping.Unlock()
	if d.keeps == nil {
		return
	}
	if highest := d.keeps(r.Token, r.Text); highest > r.Token {
		d.sendRecord(r.From, record{From: d.c.Self.Name, Token: highest})
	}
}

// ScribeDuty is the duty under which records are sent.
const ScribeDuty = "scribe"

// Refused tells that what receives acts has seen a higher token than the own one.
func (d *Duties) Refused(name string, highest uint64) {
	d.refused.Add(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.carry(d.agent.Refused(d.now(), name, highest))
}

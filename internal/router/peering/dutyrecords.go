package peering

import (
	"encoding/json"
	"slices"
)

// record is a scribe's, on its way to another router that may vote. Its frame has recordMark before it.
type fleetRecord struct {
	From  string          `json:"from"`
	Token uint64          `json:"token"`
	Text  json.RawMessage `json:"text,omitempty"` // without, it says that Token was refused
}

const recordPrefix = 'R' // a voter's messages begin otherwise

// Keeps has records of other routers be given to take, one at a time.
func (d *Roles) OnRecord(take func(token uint64, text []byte) uint64) { d.keepRecord = take }

// Copy sends a scribe's record to the next living router that may vote. It waits for nobody.
func (d *Roles) SendRecord(token uint64, text []byte) {
	if d.voterLink == nil {
		return
	}
	at := slices.Index(d.config.Candidates, d.config.Self.Name)
	for i := 1; i < len(d.config.Candidates); i++ {
		to := d.config.Candidates[(at+i)%len(d.config.Candidates)]
		if _, lives := d.addressOf(to); lives {
			d.sendRecord(to, fleetRecord{d.config.Self.Name, token, text})
			return
		}
	}
}

func (d *Roles) sendRecord(to string, r fleetRecord) {
	if text, err := json.Marshal(r); err == nil {
		d.voterLink.send(to, append([]byte{recordPrefix}, text...))
	}
}

// recorded takes another's record, or that the own one was refused.
func (d *Roles) handleRecord(data []byte) {
	var r fleetRecord
	if json.Unmarshal(data, &r) != nil || d.config.CandidateAddresses[r.From] == "" {
		return
	}
	if r.Text == nil {
		d.TokenRejected(ScribeRole, r.Token)
		return
	}
	d.recordMu.Lock()
	defer d.recordMu.Unlock()
	if d.keepRecord == nil {
		return
	}
	if highest := d.keepRecord(r.Token, r.Text); highest > r.Token {
		d.sendRecord(r.From, fleetRecord{From: d.config.Self.Name, Token: highest})
	}
}

// ScribeDuty is the duty under which records are sent.
const ScribeRole = "scribe"

// Refused tells that what receives acts has seen a higher token than the own one.
func (d *Roles) TokenRejected(name string, highest uint64) {
	d.rejected.Add(1)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.carryOutAgent(d.agent.TokenRejected(d.now(), name, highest))
}

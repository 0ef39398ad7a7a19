package peering

import (
	"encoding/json"
	"slices"
)

// ScribeRole is the role under which fleet records are sent.
const ScribeRole = "scribe"

// fleetRecord is the scribe's record on its way to another candidate, or that one's rejection of
// it. Its frame has recordPrefix before it.
type fleetRecord struct {
	From  string          `json:"from"`
	Token uint64          `json:"token"`
	Text  json.RawMessage `json:"text,omitempty"` // without it, Token is higher than the record's, which is rejected
}

// recordPrefix tells a record from a voter's message, which is a JSON object.
const recordPrefix = 'R'

// OnRecord has keep be called with records of other routers, one at a time. It returns a higher
// token that it knows of, 0 for none.
func (r *Roles) OnRecord(keep func(token uint64, text []byte) uint64) { r.keepRecord = keep }

// SendRecord sends a scribe's record to the next candidate that is alive. It never waits.
func (r *Roles) SendRecord(token uint64, text []byte) {
	if r.voterLink == nil {
		return
	}
	candidates := r.config.Candidates
	self := slices.Index(candidates, r.config.Self.Name)
	for i := 1; i < len(candidates); i++ {
		to := candidates[(self+i)%len(candidates)]
		if _, alive := r.addressOf(to); alive {
			r.sendRecord(to, fleetRecord{r.config.Self.Name, token, text})
			return
		}
	}
}

func (r *Roles) sendRecord(to string, record fleetRecord) {
	if text, err := json.Marshal(record); err == nil {
		r.voterLink.send(to, append([]byte{recordPrefix}, text...))
	}
}

// handleRecord takes in another router's record, or that the local one was rejected.
func (r *Roles) handleRecord(data []byte) {
	var record fleetRecord
	if json.Unmarshal(data, &record) != nil || r.config.CandidateAddresses[record.From] == "" {
		return
	}
	if record.Text == nil {
		r.TokenRejected(ScribeRole, record.Token)
		return
	}
	r.recordMu.Lock()
	defer r.recordMu.Unlock()
	if r.keepRecord == nil {
		return
	}
	if highest := r.keepRecord(record.Token, record.Text); highest > record.Token {
		r.sendRecord(record.From, fleetRecord{From: r.config.Self.Name, Token: highest})
	}
}

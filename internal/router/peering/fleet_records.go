package peering

import (
	"encoding/json"
	"slices"
)

// ScribeRole is the name of the role whose holder sends fleet records.
const ScribeRole = "scribe"

// fleetRecord is the message that carries a fleet record from the holder of ScribeRole to another
// candidate. A message without Text is that candidate's rejection of the record. In a frame,
// recordPrefix precedes the JSON.
type fleetRecord struct {
	From  string          `json:"from"`
	Token uint64          `json:"token"`
	Text  json.RawMessage `json:"text,omitempty"` // absent in a rejection, whose Token is higher than that of the rejected record
}

// recordPrefix is the first byte of a fleet record's frame. It distinguishes records from messages
// of voters, which are JSON objects.
const recordPrefix = 'R'

// OnRecord sets the function that stores the fleet records of other routers. Keep is called with
// one record at a time, and returns a token that it knows of and that is higher than the record's,
// 0 for none.
func (r *Roles) OnRecord(keep func(token uint64, text []byte) uint64) { r.keepRecord = keep }

// SendRecord sends a fleet record to the next live candidate after this one in the list of
// candidates. It never blocks.
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

// handleRecord handles another router's record, or the rejection of a record that this router sent.
// It answers a record that has an outdated token with a rejection.
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

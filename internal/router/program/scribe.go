package program

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"

	"reachspread/internal/durable"
	"reachspread/internal/router/peering"
)

// Record is the fleet's record: the state of the fleet that the scribe persists for routers that
// restart after a power loss.
type Record struct {
	Version  int       // of the format
	Token    uint64    // the fencing token of the lease under which the scribe wrote the record
	Scribe   string    // the name of the router that wrote the record
	At       time.Time // when it was written, for people only; no decision depends on it
	List     int64     // the version of the server list that the scribe applied last
	Settings string    // a digest of the operators' settings file
	View     uint64    // the version of the fleet view
	Digest   string    // the digest of the fleet view
	Routers  []string  // the names of the members of the fleet view
	Largest  uint64    // the highest token that the scribe knows of
}

const (
	recordVersion       = 1
	recordFile          = "fleet-record.json"
	recordCopyFile      = "fleet-record.copy.json" // the copy of another router's record
	recordInterval      = time.Second              // the time between two checks whether the record has changed
	recordRewriteRounds = 10                       // an unchanged record is written again at every tenth check
	maxRecordBytes      = 1 << 20                  // records of more bytes are not stored
)

// scribe writes the fleet's record while this router holds the lease of the scribe role. It also
// sends each record to one other router that may vote, which stores a copy.
func (p *Program) scribe(ctx context.Context, token uint64) error {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	var last string
	for n := 0; ; n++ {
		r := p.record(token)
		if key := fmt.Sprint(r.List, r.Settings, r.Digest, r.Token); key != last || n%recordRewriteRounds == 0 {
			if _, _, ok := p.roles.Check(peering.ScribeRole); !ok {
				return nil
			}
			text, err := json.Marshal(r)
			if err == nil {
				err = durable.WriteFileAtomic(filepath.Join(p.cfg.set.Roles.Folder, recordFile), text)
			}
			if err != nil {
				return fmt.Errorf("the fleet's record: %w", err)
			}
			p.roles.SendRecord(token, text)
			last = key
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// record returns the fleet's record according to the current state of this router.
func (p *Program) record(token uint64) *Record {
	v := p.view.Now()
	r := &Record{Version: recordVersion, Token: token, Scribe: p.cfg.member().Name, At: time.Now().UTC().Truncate(time.Second), List: p.listVersion.Load(),
		View: v.Version, Digest: fmt.Sprintf("%016x", v.Digest), Largest: p.roles.HighestToken()}
	if text, err := os.ReadFile(p.file); err == nil {
		r.Settings = fmt.Sprintf("%016x", xxhash.Sum64(text))
	}
	for i := range v.Members {
		r.Routers = append(r.Routers, v.Members[i].Name)
	}
	return r
}

// storeCopy stores a copy of another router's record. If the stored copy has a higher token,
// storeCopy does not replace the copy and returns that token; otherwise it returns 0.
func (p *Program) storeCopy(token uint64, text []byte) (highest uint64) {
	var r Record
	if len(text) > maxRecordBytes || json.Unmarshal(text, &r) != nil || r.Version != recordVersion {
		return 0
	}
	path := filepath.Join(p.cfg.set.Roles.Folder, recordCopyFile)
	if p.copiedToken == 0 {
		var old Record
		if had, err := os.ReadFile(path); err == nil && json.Unmarshal(had, &old) == nil {
			p.copiedToken = old.Token
		}
	}
	if token < p.copiedToken {
		return p.copiedToken
	}
	if err := durable.WriteFileAtomic(path, text); err != nil {
		p.log.Warn("copy of the fleet's record not written", "cause", err)
		return 0
	}
	p.copiedToken = token
	return 0
}

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

// Record is what the scribe keeps of the fleet, for whoever comes back from a power loss.
type Record struct {
	Version  int
	Token    uint64 // under which it was written
	Scribe   string
	At       time.Time // for people; nothing is decided by it
	List     int64     // the version of the list that was seen last
	Settings string    // a digest of the operators' file
	View     uint64
	Digest   string
	Routers  []string
	Largest  uint64 // token that the scribe was told of
}

const (
	recordVersion       = 1
	recordFile          = "fleet-record.json"
	recordCopyFile      = "fleet-record.copy.json" // another router's
	recordInterval      = time.Second              // between two looks; what has not changed is written each tenth time
	recordRewriteRounds = 10
	maxRecordBytes      = 1 << 20 // bytes
)

// scribe writes the fleet's record while it holds the lease of the role, with a replica at one more
// router that may vote.
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

// record is the fleet's as this router knows it.
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

// storeCopy keeps another router's record, unless it is of an older token than the one at hand. It
// returns that one.
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
		p.log.Warn("fleet's record not kept", "cause", err)
		return 0
	}
	p.copiedToken = token
	return 0
}

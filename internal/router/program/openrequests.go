package program

import (
	"os"
	"path/filepath"

	"reachspread/internal/router/snapshot"
)

// countUnanswered returns how many requests the previous incarnation had accepted and not answered
// when it last wrote the file of open requests. The router does not send these requests again.
func (p *Program) countUnanswered(folder string) int {
	text, err := os.ReadFile(filepath.Join(folder, snapshot.OpenRequestsFile))
	if err != nil {
		return 0
	}
	open, _, err := snapshot.Decode(text)
	if err != nil {
		p.log.Warn("snapshot file damaged", "file", snapshot.OpenRequestsFile, "cause", err)
		return 0
	}
	if open.Router != p.cfg.Name {
		return 0
	}
	return len(open.OpenRequests) + open.OmittedRequests
}

// writeOpenRequests writes the file of open requests, or removes the file after the last open
// request has ended.
func (p *Program) writeOpenRequests(folder string) {
	k := &p.snapshots
	s := &snapshot.State{Router: p.cfg.Name}
	ids, classes, more := p.router.OpenRequests(snapshot.MaxOpenRequests)
	for i, id := range ids {
		s.OpenRequests = append(s.OpenRequests, snapshot.OpenRequest{ID: id, Class: classes[i]})
	}
	if s.OmittedRequests = more; len(ids) == 0 && !k.hadOpen {
		return
	}
	k.openRequests.Path = filepath.Join(folder, snapshot.OpenRequestsFile)
	if k.hadOpen = len(ids) > 0; !k.hadOpen {
		k.openRequests.Remove()
		return
	}
	if text, err := snapshot.Encode(s, 0); err == nil {
		p.reportWrite(k.openRequests.Write(text)) // without a sync to disk each second, because only people read this file
	}
}

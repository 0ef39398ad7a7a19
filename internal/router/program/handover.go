package program

import (
	"path/filepath"

	"reachspread/internal/transport"
)

// moveSocketName is the name of the socket over which a process that shuts down hands its
// connections to the process that replaces it. The socket is in the folder that the processes of a
// router share.
const moveSocketName = "reachspread.moves"

func (p *Program) moveSocketPath() string { return filepath.Join(p.getenv("TMPDIR"), moveSocketName) }

// startReceiver opens the socket on which this process receives the connections of a process that
// it replaces. Without the socket, those connections end in the process that has them.
func (p *Program) startReceiver() {
	if p.processGroup == nil {
		return
	}
	var err error
	if p.receiver, err = transport.NewReceiver(p.moveSocketPath(), p.front, p.servers, p.log); err != nil {
		p.log.Warn("socket for connection handover not opened", "cause", err)
	}
}

// moveConnections moves all connections to the process that takes over, if there is one.
func (p *Program) moveConnections() {
	if p.receiver == nil {
		return
	}
	p.receiver.Stop() // otherwise DialMover might connect to this process's own socket
	mover, err := transport.DialMover(p.moveSocketPath())
	if err != nil {
		return // no other process takes over: the router ends without a replacement
	}
	p.mu.Lock()
	p.mover = mover
	p.mu.Unlock()
	p.front.MoveTo(mover)
	p.servers.Move(mover)
	p.receiver.MoveStreams()
}

// finishMoves waits for the connections that another process has handed over to this one, and
// closes the connection to the process that takes over.
func (p *Program) finishMoves() {
	if p.receiver != nil {
		p.receiver.Wait()
	}
	if p.mover != nil {
		p.mover.Close()
	}
}

// carriedStreams returns how many streams this process relays that another process accepted.
func (p *Program) carriedStreams() int {
	if p.receiver == nil {
		return 0
	}
	return p.receiver.ActiveStreams()
}

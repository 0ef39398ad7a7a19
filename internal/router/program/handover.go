package program

import (
	"path/filepath"

	"reachspread/internal/transport"
)

// moveSocketName is the socket, in the folder that the processes of a router share, on which the
// one that takes over is given the connections of the one that leaves.
const moveSocketName = "reachspread.moves"

func (p *Program) moveSocketPath() string { return filepath.Join(p.getenv("TMPDIR"), moveSocketName) }

// startReceiver opens the socket for connections of a process that will leave. Without it they end
// where they are.
func (p *Program) startReceiver() {
	if p.processGroup == nil {
		return
	}
	var err error
	if p.receiver, err = transport.NewReceiver(p.moveSocketPath(), p.front, p.servers, p.log); err != nil {
		p.log.Warn("connections stay", "cause", err)
	}
}

// moveConnections moves all connections to the process that takes over, if there is one.
func (p *Program) moveConnections() {
	if p.receiver == nil {
		return
	}
	p.receiver.Stop() // or else this process might find itself there
	mover, err := transport.DialMover(p.moveSocketPath())
	if err != nil {
		return // nobody takes over: this is an end, not a replacement
	}
	p.mu.Lock()
	p.mover = mover
	p.mu.Unlock()
	p.front.MoveTo(mover)
	p.servers.Move(mover)
	p.receiver.MoveStreams()
}

// finishMoves waits for connections that came from another process.
func (p *Program) finishMoves() {
	if p.receiver != nil {
		p.receiver.Wait()
	}
	if p.mover != nil {
		p.mover.Close()
	}
}

// carriedStreams returns how many streams of another process this one carries.
func (p *Program) carriedStreams() int {
	if p.receiver == nil {
		return 0
	}
	return p.receiver.ActiveStreams()
}

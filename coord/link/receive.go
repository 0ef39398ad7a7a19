package link

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
)

// receive passes the messages of an inbound connection to the handler. It returns and closes the
// connection when the connection ends, is idle for too long, or carries bytes that aren't a frame.
func (l *Link) receive(c net.Conn) {
	defer func() {
		c.Close()
		l.mu.Lock()
		l.inbound.Remove(c)
		l.mu.Unlock()
	}()
	in := bufio.NewReaderSize(&ackingConn{Conn: c}, bufferSize)
	for {
		kind, data, ok := readFrame(in)
		if !ok {
			return
		}
		l.received.Add(1)
		l.receivedBytes.Add(uint64(frameHeaderLen + len(data)))
		l.handler(kind, data)
	}
}

// readFrame reads one frame; ok is false if the connection ends within the frame or the length in the
// header is above MaxMessageLen.
func readFrame(in io.Reader) (kind Kind, data []byte, ok bool) {
	var header [frameHeaderLen]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return 0, nil, false
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > MaxMessageLen {
		return 0, nil, false
	}
	// ReadAll grows its buffer as bytes arrive, so that a large length in a header alone doesn't
	// allocate memory.
	data, err := io.ReadAll(io.LimitReader(in, int64(n)))
	if err != nil || len(data) != int(n) {
		return 0, nil, false
	}
	return Kind(header[4]), data, true
}

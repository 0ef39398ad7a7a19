package transport

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strings"

	"golang.org/x/sys/unix"
)

// tcpTables are the system's tables of TCP connections.
var tcpTables = []string{"/proc/net/tcp", "/proc/net/tcp6"}

// localAddressColumn is the column of a line of these tables that has the address and port of this
// side.
const localAddressColumn = 1

// hasHandshakes reports whether a client's handshake with a listener on a port is under way: the
// system has answered the client, which may take the connection for open, but has no connection to
// accept. An error says that the tables can't be read.
func hasHandshakes(port int) (underWay bool, err error) {
	for _, table := range tcpTables {
		underWay, err = hasHandshakesIn(table, port)
		if underWay || err != nil {
			return underWay, err
		}
	}
	return false, nil
}

// hasHandshakesIn is hasHandshakes for one table.
func hasHandshakesIn(table string, port int) (bool, error) {
	file, err := os.Open(table)
	if os.IsNotExist(err) { // a system without IPv6 has one table
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer file.Close()
	synReceived := fmt.Appendf(nil, " %02X ", unix.BPF_TCP_SYN_RECV)
	localPort := fmt.Sprintf(":%04X", port)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if !bytes.Contains(lines.Bytes(), synReceived) { // most, in a table that may have very many
			continue
		}
		columns := strings.Fields(lines.Text())
		if len(columns) > localAddressColumn && strings.HasSuffix(columns[localAddressColumn], localPort) {
			return true, nil
		}
	}
	return false, lines.Err()
}

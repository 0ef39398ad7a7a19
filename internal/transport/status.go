package transport

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	statusTimeout   = 2 * time.Second // for each direction of one call
	maxStatusAnswer = 4 << 20
)

// Status answers questions about the running router on a Unix socket that only the router's own
// user may open.
type Status struct {
	path   string
	server *fasthttp.Server
	ln     net.Listener
}

// NewStatus listens on the socket name.sock in an existing folder. A client requests a topic as an
// HTTP path and gets JSON. NewStatus replaces a socket left over by a dead process, and returns an
// error if another process answers on the socket.
func NewStatus(folder, name string, clients int, topics map[string]func() (any, error)) (*Status, error) {
	s := &Status{path: filepath.Join(folder, name+".sock")}
	if c, err := dialUnix("unix", s.path, statusTimeout); err == nil {
		c.Close()
		return nil, fmt.Errorf("status socket %s is in use by another router", s.path)
	}
	ln, err := listenUnix("unix", s.path)
	if err != nil {
		return nil, err
	}
	s.ln = ln
	s.server = &fasthttp.Server{
		Concurrency: clients, IdleTimeout: statusTimeout, ReadTimeout: statusTimeout, WriteTimeout: statusTimeout,
		DisableKeepalive: true, NoDefaultServerHeader: true, Logger: log.New(io.Discard, "", 0),
		Handler: func(ctx *fasthttp.RequestCtx) {
			topic, ok := topics[string(ctx.Path())]
			if !ok {
				answerLine(ctx, fasthttp.StatusNotFound, "no such topic")
				return
			}
			state, err := topic()
			if err != nil {
				answerLine(ctx, fasthttp.StatusServiceUnavailable, err.Error())
				return
			}
			text, err := json.Marshal(state)
			if err != nil {
				answerLine(ctx, fasthttp.StatusInternalServerError, err.Error())
				return
			}
			ctx.SetContentType("application/json")
			ctx.SetBody(text)
		},
	}
	go s.server.Serve(s.ln)
	return s, nil
}

// Close stops listening and removes the socket.
func (s *Status) Close() {
	os.Remove(s.path)
	s.ln.Close()
}

// AskStatus requests a topic from the router that listens on a socket.
func AskStatus(socket, topic string) ([]byte, error) {
	client := fasthttp.Client{
		Dial: func(string) (net.Conn, error) {
			c, err := dialUnix("unix", socket, statusTimeout)
			if err != nil {
				return nil, err
			}
			return NewResponseConn(c), nil
		},
		ReadTimeout: statusTimeout, WriteTimeout: statusTimeout, MaxResponseBodySize: maxStatusAnswer,
	}
	code, text, err := client.GetTimeout(nil, "http://status"+topic, statusTimeout)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", socket, err)
	}
	if code != fasthttp.StatusOK {
		return nil, fmt.Errorf("%s: status %d: %s", socket, code, text)
	}
	return text, nil
}

// StatusSocket returns the path of the named router's socket, or of the only socket in a folder if
// name is empty.
func StatusSocket(folder, name string) (string, error) {
	if name != "" {
		return filepath.Join(folder, name+".sock"), nil
	}
	found, err := filepath.Glob(filepath.Join(folder, "*.sock"))
	if err != nil {
		return "", err
	}
	if len(found) != 1 {
		return "", fmt.Errorf("%s contains %d status sockets, want 1; give the router's name", folder, len(found))
	}
	return found[0], nil
}

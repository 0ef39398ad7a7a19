package protocol

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
)

// The end of a request is found regardless of how the request is split. Bytes of the next request
// that were counted as part of this one would be lost if the connection has to be closed.
func TestRequestFramingEndsWithTheRequest(t *testing.T) {
	const post = "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\n"
	for _, request := range []string{
		"GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n",
		"\r\nGET / HTTP/1.1\r\nHost: r\r\n\r\n",
		"GET / HTTP/1.1\nHost: r\n\n",
		post + "\r\n",
		post + "Content-Length: 0\r\n\r\n",
		post + "content-length:  5\r\n\r\nhello",
		post + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		post + "transfer-encoding: Chunked\r\n\r\n1;x=y\r\na\r\n0\r\nTrailer: 1\r\n\r\n",
	} {
		for piece := 1; piece <= len(request)+1; piece++ {
			var framing RequestFraming
			sent, used := []byte(request+post+"Content-Length: 3\r\n\r\nabc"), 0
			for !framing.Complete() && used < len(sent) {
				used += framing.Feed(sent[used:min(used+piece, len(sent))])
			}
			if used != len(request) || !framing.Complete() || framing.BodyRemaining() != 0 {
				t.Errorf("%q in pieces of %d: ended after %d bytes, complete %v; want %d", request, piece, used, framing.Complete(), len(request))
			}
		}
	}
}

// If the framing of a request is malformed, all its bytes count as part of the request, so that the
// HTTP server receives and rejects it.
func TestMalformedFramingTakesAllBytes(t *testing.T) {
	const post = "POST / HTTP/1.1\r\nHost: r\r\n"
	for name, request := range map[string]string{
		"no length":              post + "Content-Length: x\r\n\r\nhello",
		"two lengths":            post + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nhello",
		"a length and chunks":    post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\nhello",
		"an unknown coding":      post + "Transfer-Encoding: gzip\r\n\r\nhello",
		"a chunk without a size": post + "Transfer-Encoding: chunked\r\n\r\nhello",
		"a head without an end":  post + strings.Repeat("X: y\r\n", maxFramedHead/6+1),
	} {
		var framing RequestFraming
		if used := framing.Feed([]byte(request)); used != len(request) || framing.Complete() {
			t.Errorf("%s: %d of %d bytes counted as part of the request, complete %v; want all bytes, not complete", name, used, len(request), framing.Complete())
		}
	}
}

// RequestFraming and net/http find the end of a request at the same byte, for every request that both
// accept.
func FuzzRequestFraming(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: r\r\nContent-Length: 2\r\n\r\nhiGET"), uint8(3))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: r\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\nGET"), uint8(1))
	f.Fuzz(func(t *testing.T, sent []byte, piece uint8) {
		var framing RequestFraming
		used := 0
		for !framing.Complete() && used < len(sent) {
			used += framing.Feed(sent[used:min(used+1+int(piece), len(sent))])
		}
		in := bufio.NewReaderSize(bytes.NewReader(sent), len(sent)+16)
		request, err := http.ReadRequest(in)
		if err != nil || !framing.Complete() {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if end := len(sent) - in.Buffered(); end != used {
			t.Errorf("%q: ended after %d bytes; want %d", sent, used, end)
		}
	})
}

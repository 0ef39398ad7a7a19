package protocol

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

func TestParseRequestHead(t *testing.T) {
	const first = "POST /v1/chat/completions HTTP/1.1\r\n"
	for sent, want := range map[string]struct {
		head RequestHead
		ok   bool
	}{
		first + "X-Client: tool-1\r\nContent-Length: 5\r\n\r\nhe": {RequestHead{"tool-1", len(first) + 18 + 19 + 2 + 5}, true},
		first + "x-cLIENT:\t tool 1 \r\n\r\n":                     {RequestHead{"tool 1", -1}, true},
		first + "Host: r\r\nTransfer-Encoding: chunked\r\n\r\n":   {RequestHead{"", -1}, true},
		first + "X-Client: a\r\nX-Client: a\r\n\r\n":              {}, // two values
		first + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n":  {RequestHead{"", -1}, true},
		first + "Content-Length: -1\r\n\r\n":                      {},
		first + "Content-Length: +1\r\n\r\n":                      {},
		first + "X-Client: a\r\n b\r\n\r\n":                       {}, // folded
		first + "X-Client : a\r\n\r\n":                            {},
		first + "X-Client: a\nX: b\r\n\r\n":                       {},
		first + "X-Client: tool-1\r\nContent-Length: 5\r\n":       {}, // incomplete head
		first:                           {},
		"GET /-/ready HTTP/1.1\r\n\r\n": {},
		"POST /v1/chat/completions HTTP/1.0\r\n\r\n": {},
		"": {},
	} {
		g, ok := ParseRequestHead([]byte(sent), "X-Client")
		if ok != want.ok || ok && g != want.head {
			t.Errorf("%q: %+v, %v; want %+v, %v", sent, g, ok, want.head, want.ok)
		}
	}
}

// For every head that ParseRequestHead accepts, it and net/http find the same header value and the
// same length.
func FuzzLook(f *testing.F) {
	f.Add([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nX-Client: tool-1\r\nContent-Length: 2\r\n\r\nhi"))
	f.Add([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nx-client:\tx\r\nTransfer-Encoding: chunked\r\n\r\n"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		g, ok := ParseRequestHead(sent, "X-Client")
		if !ok {
			return
		}
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(sent)))
		if err != nil {
			return // net/http rejects the request, so there is nothing to compare
		}
		if got := r.Header.Get("X-Client"); got != g.HeaderValue || r.Method != "POST" || r.URL.Path != PathCompletions {
			t.Errorf("%q: got header value %q; net/http has %q", sent, g.HeaderValue, got)
		}
		if g.Length > 0 && r.ContentLength >= 0 && g.Length != bytes.Index(sent, headEnd)+4+int(r.ContentLength) {
			t.Errorf("%q: got a length of %d bytes; net/http has a body of %d", sent, g.Length, r.ContentLength)
		}
	})
}

func TestRejectionIsAnHTTPAnswer(t *testing.T) {
	text := AppendRejection(nil, 429, 1500*time.Millisecond, "too many")
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || string(body) != "too many\n" || resp.StatusCode != 429 || !resp.Close || resp.Header.Get("Retry-After") != "1.500" {
		t.Errorf("got body %q, error %v, response %+v; want 429 with Retry-After 1.500 that closes the connection", body, err, resp)
	}
	if text := AppendRejection(nil, 503, 0, "x"); strings.Contains(string(text), "Retry-After") {
		t.Errorf("a rejection without a wait has a Retry-After: %q", text)
	}
}

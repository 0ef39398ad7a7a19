package scripted

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// NewRequest returns a well-formed client request to addr. set overrides its headers; an empty value
// removes a header.
func NewRequest(t testing.TB, addr, id string, set map[string]string) *http.Request {
	t.Helper()
	r, err := http.NewRequest("POST", "http://"+addr+"/v1/chat/completions?a=%20b", strings.NewReader(`{"stream": true}`))
	if err != nil {
		t.Fatal(err)
	}
	headers := map[string]string{"X-Correlation-Id": id, "X-Service-Class": "chat", "X-Session-Key": "s",
		"X-Time-Left": "8000m", "X-Facts": "prompt_len=100,max_out=10"}
	for name, value := range set {
		headers[name] = value
	}
	for name, value := range headers {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	return r
}

// Do sends a request and returns the status, the body and the error with which the body ended. It
// fails the test if there is no answer.
func Do(t testing.TB, r *http.Request) (status int, body string, end error) {
	t.Helper()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// RequestText returns a well-formed client request in wire format. more has additional header lines,
// each including its line end.
func RequestText(id, more string) string {
	body := `{"stream": true}`
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nX-Correlation-Id: %s\r\nX-Service-Class: chat\r\n"+
		"X-Session-Key: s\r\nX-Time-Left: 8000m\r\nX-Facts: prompt_len=100,max_out=10\r\n%sContent-Length: %d\r\n\r\n%s", id, more, len(body), body)
}

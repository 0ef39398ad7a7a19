package protocol

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// checkHead adds the lines of a head up to the first error.
func checkHead(text string) (h ResponseHead, err error) {
	for line := range strings.Lines(text) {
		if err := h.AddLine([]byte(line)); err != nil {
			return h, err
		}
	}
	return h, nil
}

func TestSoundHeadsAreAccepted(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 \r\n\r\n",
		"HTTP/1.1 200\r\n\r\n",
		"HTTP/1.1 599 any \t words, \xfc as well\r\n\r\n",
		"HTTP/1.0 404 Not Found\r\nConnection: keep-alive\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Empty:\r\nx!#$%&'*+-.^_`|~9: \t a : \"b\" \xfc \r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n",
		"HTTP/1.2 200 OK\r\nContent-Length: 4\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n",
	} {
		if h, err := checkHead(text); err != nil || !h.Complete {
			t.Errorf("%q: got %v, complete %v; want a complete head", text, err, h.Complete)
		}
	}
}

// Of all bytes, those of a token may be in a name, at its start, in its middle and at its end.
func TestNamesAreTokens(t *testing.T) {
	const token = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for b := range 256 {
		for _, form := range []string{"%sX", "X%sY", "X%s"} {
			name := fmt.Sprintf(form, string([]byte{byte(b)}))
			_, err := checkHead("HTTP/1.1 200 OK\r\nA: b\r\n" + name + ": z\r\n\r\n")
			// A name that ends with a colon is one whose value begins with a colon.
			sound := strings.IndexByte(token, byte(b)) >= 0 || b == ':' && !strings.HasPrefix(name, ":")
			var malformed *MalformedResponseError
			if sound != (err == nil) || err != nil && !errors.As(err, &malformed) {
				t.Errorf("name %q: got %v, want it accepted: %v", name, err, sound)
			}
		}
	}
}

func TestStatusIsInRange(t *testing.T) {
	for status := range 1000 {
		if _, err := checkHead(fmt.Sprintf("HTTP/1.1 %03d X\r\n\r\n", status)); (err == nil) != (status >= 100 && status <= 599) {
			t.Errorf("status %03d: got %v", status, err)
		}
	}
}

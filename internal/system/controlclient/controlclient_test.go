package controlclient

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"reachspread/internal/testbed/scripted"
)

func TestDoSendsTheCallOnce(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.WriteHeader(http.StatusPreconditionFailed)
		io.WriteString(w, r.Method+" "+r.URL.Path+" "+r.Header.Get("If-Match")+" "+string(body))
	}))
	defer server.Close()
	answer, err := Do(context.Background(), Call{Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodPut, Path: "/configuration", IfMatch: "5", Body: []byte("x")})
	is.NoErr(err)
	is.Equal(answer.Code, http.StatusPreconditionFailed)
	is.Equal(answer.Status, "412 Precondition Failed")
	is.Equal(string(answer.Text), "PUT /configuration 5 x")
}

// Do returns an error if the connection breaks during the answer.
func TestInterruptedAnswerIsAnError(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "10")
		io.WriteString(w, "short")
	}))
	defer server.Close()
	_, err := Do(context.Background(), Call{Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodGet, Path: "/"})
	is.True(err != nil)
}

// A malformed answer of a router is an error, so its text is not taken for the outcome of the call.
func TestMalformedAnswerIsAnError(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nX-Y: z\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n" + scripted.End
	do := func(t *testing.T, text string) (*Answer, error) {
		s := scripted.NewServer(t, scripted.Answer(text))
		ctx, stop := context.WithTimeout(context.Background(), scripted.EventTimeout)
		defer stop()
		return Do(ctx, Call{Address: s.Addr, Method: http.MethodGet, Path: "/"})
	}
	for _, text := range []string{sound, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + sound} {
		if answer, err := do(t, text); err != nil || answer.Code != http.StatusOK || string(answer.Text) != "fine" {
			t.Errorf("%q: got %+v, %v", text, answer, err)
		}
	}
	for _, change := range slices.Concat(scripted.MalformedStatuses, scripted.MalformedLines, scripted.MalformedFraming) {
		if answer, err := do(t, change.Of(sound)); err == nil {
			t.Errorf("%s: got %+v, want an error", change.Name, answer)
		}
	}
}

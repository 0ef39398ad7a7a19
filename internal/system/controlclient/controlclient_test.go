package controlclient

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
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

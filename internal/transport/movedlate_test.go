package transport

import (
	"testing"

	"reachspread/internal/testbed/scripted"
)

// Guards against a process that takes over a connection after its Shutdown has found no connection
// left. The previous process would rely on the connection being served.
func TestNothingIsTakenOverAfterShutdown(t *testing.T) {
	front, _ := newRoutedFront(t, oneConnection, scripted.Answer(scripted.CompleteAnswer()))
	if err := front.Shutdown(); err != nil {
		t.Fatal(err)
	}
	_, accepted := pair(t)
	if err := front.adopt(accepted, nil, false); err == nil {
		t.Error("the connection was taken over; want it declined, so that the previous process serves it")
	}
}

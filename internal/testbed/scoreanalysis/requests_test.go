package scoreanalysis

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// line returns the line that a router of the trial build prints for a request with a prompt of 1,000
// tokens and an aim of 400 ms.
func line(attempts ...string) string {
	return "  12.5 frontend-x-1 TRACE 1774 p7 aim=400 left=2999 prompt=1000 shared=300 how=end runs=2 safe=true" + strings.Join(append([]string{""}, attempts...), "|")
}

func TestMechanisms(t *testing.T) {
	for _, c := range []struct {
		name     string
		attempts []string // host, sent, first, end, expected, result, ahead, unread
		want     Mechanism
	}{
		{"in its aim", []string{"h,0.1,100.0,200.0,60.0,0,700,700,true,1.00,2"}, InTime},
		{"never sent", nil, NeverSent},
		{"a surprise", []string{"h,0.1,500.0,600.0,60.0,0,700,700,true,1.00,2"}, BehindUnknown},
		{"foreseen", []string{"h,0.1,500.0,600.0,450.0,0,20700,700,true,1.00,2"}, BehindKnown},
		{"too large", []string{"h,0.1,900.0,990.0,850.0,0,40000,40000,true,1.00,2"}, TooLarge},
		{"second attempt, late", []string{"h,0.1,-1.0,300.0,60.0,5,700,700,true,1.00,2", "i,300.5,150.0,200.0,60.0,0,700,700,false,1.00,2"}, LateAfterRetry},
		{"second attempt, in time", []string{"h,0.1,-1.0,3.0,60.0,4,700,700,true,1.00,2", "i,3.5,150.0,200.0,60.0,0,700,700,false,1.00,2"}, InTime},
		{"no connection", []string{"h,0.1,-1.0,3.0,60.0,4,700,700,true,1.00,2"}, NoConnection},
		{"full", []string{"h,0.1,-1.0,3.0,60.0,2,700,700,true,1.00,2"}, HostsFull},
		{"reset", []string{"h,0.1,-1.0,3.0,60.0,5,700,700,true,1.00,2"}, BrokenBeforeStream},
		{"a stream cut", []string{"h,0.1,50.0,80.0,60.0,5,700,700,true,1.00,2"}, BrokenInStream},
		{"silence", []string{"h,0.1,-1.0,3000.0,60.0,6,700,700,true,1.00,2"}, Unanswered},
		{"left within the stream", []string{"h,0.1,50.0,3000.0,60.0,6,700,700,true,1.00,2"}, CancelledInStream},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			served := line("h,0.1,100.0,200.0,60.0,0,700,700,true,1.00,2")
			r, err := ReadRequests(strings.NewReader("built in 3 s\n" + line(c.attempts...) + "\n" + served + "\n"))
			is.NoErr(err)
			is.Equal(r.All, 2)
			if c.want == InTime {
				is.Equal(len(r.Losses), 0)
				return
			}
			is.Equal(len(r.Losses), 1)
			is.Equal(r.Losses[0].Mechanism, c.want)
			want := 0.5 // one of two requests of the same size is lost
			if c.want.retainedFraction() > 0 {
				want = 0.45
			}
			is.Equal(r.Losses[0].Lost, want)
		})
	}
}

func TestBadTraces(t *testing.T) {
	for _, text := range []string{"", "no line of a request", line("h,0.1"), line("h,a,b,c,d,e,f,g,h")} {
		is := is.New(t)
		_, err := ReadRequests(strings.NewReader(text))
		is.True(err != nil)
	}
}

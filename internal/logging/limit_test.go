package logging

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// In a flood of one event, only the first lines of a period are written, and the first line of the next
// period says how many were left out. Lines of another event are still written.
func TestLimit(t *testing.T) {
	type line struct {
		at    time.Duration
		event string
	}
	storm := func(from time.Duration, n int) (lines []line) {
		for range n {
			lines = append(lines, line{from, "storm"})
		}
		return lines
	}
	for _, c := range []struct {
		name  string
		lines []line
		want  string
	}{
		{"few", storm(0, 2), "storm,storm"},
		{"a storm", storm(0, 9), "storm,storm"},
		{"a storm and its next period", append(storm(0, 9), line{10 * time.Second, "storm"}, line{11 * time.Second, "storm"}), "storm,storm,storm left_out=7,storm"},
		{"another event in a storm", append(storm(0, 9), line{time.Second, "calm"}), "storm,storm,calm"},
		{"few in each period", append(storm(0, 2), storm(10*time.Second, 2)...), "storm,storm,storm,storm"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			var now time.Time
			l := Limit(New(&out, Text), 2, 10*time.Second, func() time.Time { return now })
			for _, x := range c.lines {
				now = time.Unix(1, 0).Add(x.at)
				l.Warn(x.event)
			}
			got := strings.ReplaceAll(strings.TrimSpace(strings.ReplaceAll(out.String(), "WRN ", "")), "\n", ",")
			is.Equal(got, c.want)
		})
	}
}

// The memory of a Limiter is bounded even if the number of different events is not, for example
// because event names contain addresses.
func TestLimitIsBounded(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := Limit(New(&out, Text), 1, time.Second, time.Now)
	for i := range 2 * maxEvents {
		l.Info(fmt.Sprint("event ", i))
	}
	is.Equal(len(l.events), maxEvents)
	is.Equal(strings.Count(out.String(), "\n"), 2*maxEvents)
}

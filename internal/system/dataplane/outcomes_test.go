package dataplane

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"reachspread/internal/routing"
)

// Several goroutines count requests by kind, tenant and outcome at once. Tenants beyond the maximum
// number of keys are counted together.
func TestOutcomesAreCountedByKindAndTenant(t *testing.T) {
	is := is.New(t)
	var e outcomeCounts
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for i := range maxCountedKeys + 100 {
				e.add(requestKey{"safe", fmt.Sprint("t", i)}, OutcomeServed)
			}
		})
	}
	group.Wait()
	e.add(requestKey{"unsafe", "late"}, OutcomeFailed)
	total := uint64(0)
	for _, c := range e.counts() {
		total += c.Count
	}
	is.Equal(total, uint64(8*(maxCountedKeys+100)+1))
	is.True(len(e.all) <= maxCountedKeys+1)
	first := e.counts()[0]
	is.Equal(first, RequestCount{Tenant: otherTenant, Outcome: OutcomeServed, Count: 8 * 100})
}

func TestOutcomeOfEachAnswer(t *testing.T) {
	stream := &routing.Stream{}
	for _, c := range []struct {
		end  routing.Answer
		want Outcome
	}{
		{routing.Answer{Verdict: routing.Served, Stream: stream}, OutcomeServed},
		{routing.Answer{}, OutcomeAbandoned}, // the client disconnected before an answer
		{routing.Answer{Verdict: routing.Rejected}, OutcomeRejected},
		{routing.Answer{Verdict: routing.Failed}, OutcomeFailed},
		{routing.Answer{Verdict: routing.Invalid}, OutcomeFailed},
		{routing.Answer{Verdict: routing.Abandoned}, OutcomeAbandoned},
	} {
		if got := outcomeOf(c.end); got != c.want {
			t.Errorf("%+v: %v, want %v", c.end, got, c.want)
		}
	}
	for code, want := range map[int]Outcome{http.StatusTooManyRequests: OutcomeOverQuota, http.StatusServiceUnavailable: OutcomeRejected,
		http.StatusUnauthorized: OutcomeNoKey, http.StatusNotFound: OutcomeNoRoute, http.StatusBadRequest: OutcomeMalformed, http.StatusRequestEntityTooLarge: OutcomeMalformed} {
		if got := outcomeOfCode(code); got != want {
			t.Errorf("%d: %v, want %v", code, got, want)
		}
	}
}

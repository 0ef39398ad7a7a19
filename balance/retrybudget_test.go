package balance

import (
	"fmt"
	"testing"

	"reachspread/internal/retrybudget"
)

// A retry spends from the retry budget only if an attempt of the request was delivered.
func TestRetryBudgetCountsDeliveredAttempts(t *testing.T) {
	for _, tt := range []struct {
		result Result
		again  bool
	}{
		{NoConnection, true}, {NotSent, true}, {Full, false}, {Reset, false}, {Error, false},
	} {
		t.Run(fmt.Sprint(tt.result), func(t *testing.T) {
			cfg := testConfig()
			cfg.RetryBudget = retrybudget.New(0, 0)
			g := newTestRouter(t, cfg, members("a", "b")...)
			q := g.request("safe")
			if len(actionsOf[Send](g.step(q))) != 1 {
				t.Fatal("request was not sent")
			}
			if again := len(actionsOf[Send](g.step(Outcome{ID: q.ID, Result: tt.result}))) == 1; again != tt.again {
				t.Errorf("retried: %v, want %v", again, tt.again)
			}
		})
	}
}

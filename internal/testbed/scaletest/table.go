package scaletest

import (
	"fmt"
	"io"
	"time"
)

// Write writes the result as Markdown tables to w. It returns the error of the last write.
func (r *Result) Write(w io.Writer) error {
	p := &r.Plan
	fmt.Fprintf(w, "%d real and %d hollow members in %d zones, loss %v, churn %v a minute, seed %d\n\n", p.Real, p.Hollow, p.Zones, p.Loss, p.Churn, p.Seed)
	fmt.Fprintln(w, "| what happens | known to half | to 99 of 100 | to all |")
	fmt.Fprintln(w, "| --- | ---: | ---: | ---: |")
	for _, k := range r.Known {
		fmt.Fprintf(w, "| %s | %s | %s | %s |\n", k.What, k.time(k.Half), k.time(k.NinetyNine), k.time(k.All))
	}
	fmt.Fprintln(w, "\n| members | datagrams a second | bytes a second | share of a core | memory, MB |")
	fmt.Fprintln(w, "| --- | ---: | ---: | ---: | ---: |")
	if p.Real > 0 {
		fmt.Fprintf(w, "| %d real | %.2f | %.1f | %.4f%% | %.1f |\n", p.Real, r.Real.Datagrams, r.Real.Bytes, 100*r.Real.CPU, r.Real.MemoryMB)
	}
	_, err := fmt.Fprintf(w, "| %d hollow | %.2f | %.1f | not measured | not measured |\n", p.Hollow, r.Hollow.Datagrams, r.Hollow.Bytes)
	return err
}

// time formats the time after which a fraction of the members knew of the change.
func (k *Known) time(at time.Duration) string {
	if at == 0 {
		return fmt.Sprintf("not within the time; %d of %d knew", k.Knew, k.Members)
	}
	return fmt.Sprintf("%.2f s", at.Seconds())
}

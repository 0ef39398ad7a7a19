package settings

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// oneLine returns the first error of the diagnostics as one line with file and line.
func oneLine(diags hcl.Diagnostics) error {
	for _, d := range diags {
		if d.Severity != hcl.DiagError {
			continue
		}
		where := ""
		if d.Subject != nil {
			where = fmt.Sprintf("%s:%d: ", d.Subject.Filename, d.Subject.Start.Line)
		}
		return fmt.Errorf("%s%s", where, strings.Join(strings.Fields(d.Summary+": "+d.Detail), " "))
	}
	return nil
}

// checker fills in defaults and remembers the first fault.
type checker struct{ err error }

// fault reports that a field of a block is wrong. The line is the field's, or the block's where the
// field is not set.
func (c *checker) fault(body hcl.Body, field, format string, v ...any) {
	where := hcl.Range{}
	if b, ok := body.(*hclsyntax.Body); ok {
		where = b.SrcRange
		if a := b.Attributes[field]; a != nil {
			where = a.SrcRange
		}
	}
	c.faultAt(where, field, format, v...)
}

// faultAt reports that a field at a place of the file is wrong. Only the first fault counts.
func (c *checker) faultAt(where hcl.Range, field, format string, v ...any) {
	if c.err == nil {
		c.err = fmt.Errorf("%s:%d: %s %s", where.Filename, where.Start.Line, field, fmt.Sprintf(format, v...))
	}
}

// duration reads a time over 0 and up to a day, or returns the fallback for an empty text.
func (c *checker) duration(body hcl.Body, field, text string, fallback time.Duration) time.Duration {
	if text == "" {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > 24*time.Hour {
		c.fault(body, field, "is %q; it must be a time over 0 and up to 24h, such as 250ms or 2s", text)
	}
	return d
}

// size reads a number of bytes from minimum up to 1 TiB, or returns the fallback for an empty text.
func (c *checker) size(body hcl.Body, field, text string, fallback, minimum int64) int64 {
	if text == "" {
		return fallback
	}
	n, err := humanize.ParseBytes(text)
	if err != nil || n > 1<<40 || int64(n) < minimum {
		c.fault(body, field, "is %q; it must be a size such as 64KiB or 1MiB, and %s at least", text, humanize.IBytes(uint64(minimum)))
		return fallback
	}
	return int64(n)
}

// count returns a number from 1 to maximum, or the fallback for nil.
func (c *checker) count(body hcl.Body, field string, n *int, fallback, maximum int) int {
	if n == nil {
		return fallback
	}
	if *n < 1 || *n > maximum {
		c.fault(body, field, "is %d; it must be from 1 to %d", *n, maximum)
	}
	return *n
}

// number returns a number from minimum to maximum, or the fallback for nil.
func (c *checker) number(body hcl.Body, field string, n *float64, fallback, minimum, maximum float64) float64 {
	if n == nil {
		return fallback
	}
	if !(*n >= minimum && *n <= maximum) {
		c.fault(body, field, "is %v; it must be from %v to %v", *n, minimum, maximum)
	}
	return *n
}

// addr reads an IPv4 address with a port.
func (c *checker) addr(body hcl.Body, field, text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil || !a.Addr().Is4() || a.Port() == 0 {
		c.fault(body, field, "has %q; it must be an IPv4 address with a port", text)
	}
	return a
}

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

// oneLine returns the first error of the diagnostics as one line with the file and the line number,
// or nil if there is none.
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

// checker converts the blocks of the file to settings. It checks them, fills in defaults and stores
// the first error.
type checker struct{ err error }

// fault reports that a field of a block is invalid. The error names the line of the field, or the
// line of the block if the field is not set.
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

// faultAt reports that a field or block at a position in the file is invalid. It stores only the
// first error.
func (c *checker) faultAt(where hcl.Range, field, format string, v ...any) {
	if c.err == nil {
		c.err = fmt.Errorf("%s:%d: %s %s", where.Filename, where.Start.Line, field, fmt.Sprintf(format, v...))
	}
}

// duration parses a duration above 0 and at most a day. For an empty text, it returns the fallback.
func (c *checker) duration(body hcl.Body, field, text string, fallback time.Duration) time.Duration {
	if text == "" {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > 24*time.Hour {
		c.fault(body, field, "is %q; it must be a duration above 0 and at most 24h, such as 250ms or 2s", text)
	}
	return d
}

// size parses a number of bytes from minimum to 1 TiB. For an empty text, it returns the fallback.
func (c *checker) size(body hcl.Body, field, text string, fallback, minimum int64) int64 {
	if text == "" {
		return fallback
	}
	n, err := humanize.ParseBytes(text)
	if err != nil || n > 1<<40 || int64(n) < minimum {
		c.fault(body, field, "is %q; it must be a size such as 64KiB or 1MiB, at least %s and at most 1TiB", text, humanize.IBytes(uint64(minimum)))
		return fallback
	}
	return int64(n)
}

// count checks that a number is from 1 to maximum, and returns it. For nil, it returns the fallback.
func (c *checker) count(body hcl.Body, field string, n *int, fallback, maximum int) int {
	if n == nil {
		return fallback
	}
	if *n < 1 || *n > maximum {
		c.fault(body, field, "is %d; it must be from 1 to %d", *n, maximum)
	}
	return *n
}

// number checks that a number is from minimum to maximum, and returns it. For nil, it returns the
// fallback.
func (c *checker) number(body hcl.Body, field string, n *float64, fallback, minimum, maximum float64) float64 {
	if n == nil {
		return fallback
	}
	if !(*n >= minimum && *n <= maximum) {
		c.fault(body, field, "is %v; it must be from %v to %v", *n, minimum, maximum)
	}
	return *n
}

// addr parses an IPv4 address with a port.
func (c *checker) addr(body hcl.Body, field, text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil || !a.Addr().Is4() || a.Port() == 0 {
		c.fault(body, field, "has %q; it must be an IPv4 address with a port", text)
	}
	return a
}

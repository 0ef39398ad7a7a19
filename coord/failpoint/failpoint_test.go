package failpoint

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Before Set nothing fails. After Set the injected faults occur. After Set(nil) nothing fails again.
func TestSetInjectsAndEndsFaults(t *testing.T) {
	is := is.New(t)
	full := errors.New("full")
	is.True(!DropMessage("a"))
	is.NoErr(BeforeWrite())
	Set(&Faults{DropMessage: func(to string) bool { return to == "a" }, BeforeWrite: func() error { return full }})
	defer Set(nil)
	is.True(DropMessage("a"))
	is.True(!DropMessage("b"))
	is.Equal(BeforeWrite(), full)
	Set(nil)
	is.True(!DropMessage("a"))
	is.NoErr(BeforeWrite())
}

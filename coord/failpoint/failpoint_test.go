package failpoint

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Nothing fails before Set, what is set does, and nothing does after nil.
func TestSet(t *testing.T) {
	is := is.New(t)
	full := errors.New("full")
	is.True(!Lost("a"))
	is.NoErr(Write())
	Set(&Failures{Lose: func(to string) bool { return to == "a" }, Write: func() error { return full }})
	defer Set(nil)
	is.True(Lost("a"))
	is.True(!Lost("b"))
	is.Equal(Write(), full)
	Set(nil)
	is.True(!Lost("a"))
	is.NoErr(Write())
}

package main

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// tourFile matches a Go file that the tour names, and the list of its functions that may follow the
// file name. tourFunctions matches each function in that list.
var (
	tourFile      = regexp.MustCompile("`((?:[a-z]+/)+[a-z]+\\.go)`(?:\\s*(?:,\\s*|\\()((?:`[A-Za-z]+`(?:,\\s*)?)+))?")
	tourFunctions = regexp.MustCompile("`([A-Za-z]+)`")
)

// Each file that the tour of the code names exists and declares the functions that the tour names
// with it.
func TestTour(t *testing.T) {
	page, err := os.ReadFile("../../docs/tour.md")
	if err != nil {
		t.Fatal(err)
	}
	named := 0
	for _, found := range tourFile.FindAllStringSubmatch(string(page), -1) {
		code, err := os.ReadFile("../../" + found[1])
		if err != nil {
			t.Error(err)
			continue
		}
		for _, function := range tourFunctions.FindAllStringSubmatch(found[2], -1) {
			named++
			if !regexp.MustCompile(`(?m)^func (\([^)]*\) )?` + function[1] + `[\[(]`).Match(code) {
				t.Errorf("%s has no function %s", found[1], function[1])
			}
		}
	}
	if named < 40 {
		t.Errorf("found only %d functions on the page, want at least 40", named)
	}
	if lines := strings.Count(string(page), "\n"); lines > 80 {
		t.Errorf("the tour has %d lines, want at most 80, so that it can be read in ten minutes", lines)
	}
}

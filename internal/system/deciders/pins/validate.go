package pins

import (
	"fmt"
	"regexp"
	"strings"

	"reachspread/internal/system/message"
)

// maxTextLen is the maximum length of each text field of a pin except its name, in bytes.
const maxTextLen = 256

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Check validates a pin that is to be set. It considers neither other pins nor the configuration.
// The error is a *FieldError.
func Check(p *message.Pin) error {
	switch {
	case !namePattern.MatchString(p.Name):
		return &FieldError{"name", fmt.Sprintf("%q is not one of 1 to 64 letters, digits, dots, dashes and underscores "+
			"that begins with a letter or digit", p.Name)}
	case p.Tenant == "" && p.Route == "":
		return &FieldError{"tenant", "either a tenant or a route must be named"}
	case p.Model == "":
		return &FieldError{"model", "it is missing"}
	case p.Version <= 0:
		return &FieldError{"version", fmt.Sprintf("%d is not a version; they are whole numbers from 1 on", p.Version)}
	}
	return checkTexts(p)
}

// CheckLift validates a request to lift a pin, that is, to remove it. The error is a *FieldError.
func CheckLift(p *message.Pin) error {
	if !namePattern.MatchString(p.Name) {
		return &FieldError{"name", fmt.Sprintf("%q is no pin's", p.Name)}
	}
	return checkTexts(p)
}

// checkTexts validates that the fields By and Why are set, because the pin history records who
// requested each change and for what reason. It also validates the length of all text fields except
// the name.
func checkTexts(p *message.Pin) error {
	required := []struct{ name, text string }{{"by", p.By}, {"why", p.Why}}
	for _, field := range required {
		if strings.TrimSpace(field.text) == "" {
			return &FieldError{field.name, "it is missing"}
		}
	}
	optional := []struct{ name, text string }{{"tenant", p.Tenant}, {"route", p.Route}, {"model", p.Model}}
	for _, field := range append(required, optional...) {
		if len(field.text) > maxTextLen {
			return &FieldError{field.name, fmt.Sprintf("it is longer than %d bytes", maxTextLen)}
		}
	}
	return nil
}

package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// decoders maps the name of a list to the function that decodes and validates an item of the list.
// The argument name describes the item in errors.
var decoders = map[string]func(name string, raw json.RawMessage) (any, error){
	"routes":   decodeRoute,
	"services": decode[Service],
	"tenants":  decode[Tenant],
}

// decodeRoute decodes and validates a route and sets the name of its request class.
func decodeRoute(name string, raw json.RawMessage) (any, error) {
	v, err := decode[Route](name, raw)
	if err != nil {
		return nil, err
	}
	r := v.(*Route)
	kind := string(r.Kind)
	if r.Kind == Streaming && r.StreamResumption {
		kind += "+resumed"
	}
	r.class = fmt.Sprintf("%s timeout=%g target=%g gap=%g attempts=%d",
		kind, r.TimeoutMs, r.TargetLatencyMs, r.GapTargetMs, r.MaxAttempts)
	return r, nil
}

// decode decodes one item and validates it regardless of the other items.
func decode[T any](name string, raw json.RawMessage) (any, error) {
	v := new(T)
	if err := json.Unmarshal(raw, v); err != nil {
		return nil, typeError(name, err)
	}
	if err := validate.Struct(v); err != nil {
		return nil, validationError(name, err)
	}
	return v, nil
}

// typeError converts an error of json.Unmarshal to a *SyntaxError. If a value has the wrong JSON
// type, the error names its field.
func typeError(subject string, err error) error {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return &SyntaxError{subject + ": " + mismatch.Field, "is a " + mismatch.Value + " where another kind of value belongs"}
	}
	return &SyntaxError{subject, err.Error()}
}

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	return v
}

// validationError converts an error of the validator to an *InvalidError, which names the first
// field of the item that breaks a rule.
func validationError(item string, err error) error {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) || len(fields) == 0 {
		return &InvalidError{item, "a field", err.Error()}
	}
	first := fields[0]
	_, path, _ := strings.Cut(first.Namespace(), ".")
	rule := strings.TrimSuffix(first.Tag()+" "+first.Param(), " ")
	return &InvalidError{item, path, fmt.Sprintf("is %v; it must satisfy %s", first.Value(), rule)}
}

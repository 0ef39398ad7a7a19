package program

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Reload reads the configuration file again and returns the new configuration. ROUTER_DISCOVERY does
// not override the file here, because the environment does not change after the start and a reload
// may change the address of discovery. The file must have every key of the file in force; otherwise
// Reload returns an error.
func Reload(getenv func(string) string, force *Config) (*Config, error) {
	c, err := Load(func(name string) string {
		if name == "ROUTER_DISCOVERY" {
			return ""
		}
		return getenv(name)
	})
	if err != nil {
		return nil, err
	}
	var oldValue, newValue any
	if err := errors.Join(json.Unmarshal(force.text, &oldValue), json.Unmarshal(c.text, &newValue)); err != nil {
		return nil, err // not expected, because Load has parsed both texts
	}
	if err := checkComplete("", oldValue, newValue); err != nil {
		return nil, err
	}
	limits := c.Settings.Limits
	if limits.MaxAttempts <= 0 {
		return nil, fmt.Errorf("settings.limits.maxAttempts is %d; it must be more than 0", limits.MaxAttempts)
	}
	for i, s := range c.Settings.Classes {
		if s.DeadlineNs <= 0 {
			return nil, fmt.Errorf("settings.services[%d].hardLimitNs is %d; it must be more than 0", i, s.DeadlineNs)
		}
	}
	return c, nil
}

// checkComplete compares two JSON values. It returns an error for the first key of the old value that
// the new value lacks, or has with a value of another kind. Each element of a new list must have the
// keys that all elements of the old list have in common.
func checkComplete(path string, oldValue, newValue any) error {
	if fmt.Sprintf("%T", oldValue) != fmt.Sprintf("%T", newValue) && oldValue != nil {
		return fmt.Errorf("%s is %s; it was %s", path, kindOf(newValue), kindOf(oldValue))
	}
	switch oldValue := oldValue.(type) {
	case map[string]any:
		newValue := newValue.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(oldValue)) {
			at := key
			if path != "" {
				at = path + "." + key
			}
			value, ok := newValue[key]
			if !ok {
				return fmt.Errorf("%s is missing", at)
			}
			if err := checkComplete(at, oldValue[key], value); err != nil {
				return err
			}
		}
	case []any:
		if len(oldValue) == 0 {
			return nil
		}
		for i, part := range newValue.([]any) {
			if err := checkComplete(fmt.Sprintf("%s[%d]", path, i), commonKeys(oldValue), part); err != nil {
				return err
			}
		}
	}
	return nil
}

// commonKeys returns the keys that all elements of a list have, with their values in the first
// element. If the first element is not an object, commonKeys returns that element.
func commonKeys(values []any) any {
	first, ok := values[0].(map[string]any)
	if !ok {
		return values[0]
	}
	keys := maps.Clone(first)
	for _, value := range values[1:] {
		other, _ := value.(map[string]any)
		maps.DeleteFunc(keys, func(key string, _ any) bool { _, has := other[key]; return !has })
	}
	return keys
}

// kindOf names the kind of a JSON value in error messages.
func kindOf(v any) string {
	switch v.(type) {
	case nil:
		return "null"
	case map[string]any:
		return "an object"
	case []any:
		return "a list"
	case string:
		return "a string"
	case bool:
		return "true or false"
	}
	return "a number"
}

// applySettings puts the settings of a valid configuration in force. The core receives them in a
// single event.
func (p *Program) applySettings(c *Config) {
	p.inForce.Store(c)
	p.router.Reconfigure(c.balance)
	p.servers.SetTimeouts(c.connectTimeout(), time.Duration(c.Settings.Limits.KeepaliveNs))
	p.front.SetAdmission(p.admission(p.processLimits.Load().clients))
	if p.mirror != nil {
		p.mirror.Reconfigure(c.balance)
	}
}

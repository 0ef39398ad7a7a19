package balance

import "fmt"

// check returns what is wrong with settings, with the name of the one at fault.
func (c *Config) check() error {
	if len(c.Classes) == 0 {
		return fmt.Errorf("Classes is empty; list at least one class")
	}
	if min(c.ColdTime, c.OverloadWindow, c.Tick, c.MaxAway) < 0 {
		return fmt.Errorf("ColdTime, OverloadWindow, Tick or MaxAway is negative; they must be 0 or more")
	}
	names := map[string]bool{}
	for i, k := range c.Classes {
		switch {
		case names[k.Name]:
			return fmt.Errorf("Classes[%d].Name is %q a second time; names must differ", i, k.Name)
		case k.Effect < Safe || k.Effect > Unsafe:
			return fmt.Errorf("Classes[%d].Effect is %d; it must be Safe, Keyed or Unsafe", i, k.Effect)
		case min(k.Aim, k.AimPer1000, k.TokenAim, k.Deadline, k.Window) < 0:
			return fmt.Errorf("the times of Classes[%d] must be 0 or more", i)
		}
		names[k.Name] = true
	}
	return nil
}

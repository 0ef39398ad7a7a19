package quota

// roundingFraction is the largest fraction of a number of units that is treated as a rounding error.
const roundingFraction = 1e-9

// Outstanding tracks the units that an owner has granted and that not all standbys have
// acknowledged. It numbers the updates to the standbys. For each key it bounds the granted units of
// which the next owner may be unaware.
type Outstanding struct {
	standbys     map[uint64]uint64  // first sequence number that a standby has not acknowledged, by identity
	updates      []usageUpdate      // updates that not all standbys have acknowledged, oldest first
	unpublished  map[string]float64 // granted units that are not in an update yet, by key
	units        map[string]float64 // granted units that are unpublished or in updates, by key
	nextSequence uint64
}

// usageUpdate is an update that tells the standbys about newly granted units.
type usageUpdate struct {
	sequence uint64
	units    map[string]float64 // by key
}

// SetStandbys replaces the standbys. A new standby has to acknowledge only the updates that follow.
func (o *Outstanding) SetStandbys(identities []uint64) {
	before := o.standbys
	o.standbys = map[uint64]uint64{}
	for _, identity := range identities {
		due, wasStandby := before[identity]
		if !wasStandby {
			due = o.nextSequence
		}
		o.standbys[identity] = due
	}
	o.dropAcknowledged()
}

// MayGrant reports whether the owner may grant units of a key. If the key has no unacknowledged
// units, the answer is true for any number. Otherwise the unacknowledged units, including the new
// ones, must stay within Plan.MaxUnacknowledged.
func (o *Outstanding) MayGrant(key string, p Plan, units float64) bool {
	unacknowledged := o.units[key]
	return unacknowledged <= 0 || unacknowledged+units <= p.MaxUnacknowledged
}

// AddGranted adds units that the owner granted, or that a lessee borrowed and has reported. The
// result reports whether the owner should publish the next update at once.
func (o *Outstanding) AddGranted(key string, p Plan, units float64) (publishNow bool) {
	if o.unpublished == nil {
		o.unpublished = map[string]float64{}
	}
	if o.units == nil {
		o.units = map[string]float64{}
	}
	o.unpublished[key] += units
	o.units[key] += units
	return o.unpublished[key] >= min(publishRateFraction*p.Rate, p.MaxUnacknowledged*publishUnacknowledgedFraction)
}

// NextUpdate returns the next update for all standbys: its sequence number and the units by key.
// The caller must not change the map.
func (o *Outstanding) NextUpdate() (sequence uint64, units map[string]float64) {
	sequence, units = o.nextSequence, o.unpublished
	o.nextSequence++
	o.unpublished = map[string]float64{}
	if len(units) > 0 { // an empty update does not need to be acknowledged
		o.updates = append(o.updates, usageUpdate{sequence, units})
	}
	o.dropAcknowledged()
	return sequence, units
}

// HasPending reports whether there are grants that are unpublished or that a standby has not
// acknowledged.
func (o *Outstanding) HasPending() bool { return len(o.updates) > 0 || len(o.unpublished) > 0 }

// Acknowledge records that a standby has received an update. This covers all earlier updates too:
// the standby has received each of them, or has detected that it is missing.
func (o *Outstanding) Acknowledge(standby, sequence uint64) {
	due, isStandby := o.standbys[standby]
	if !isStandby || sequence < due || sequence >= o.nextSequence {
		return
	}
	o.standbys[standby] = sequence + 1
	o.dropAcknowledged()
}

// dropAcknowledged removes the updates that all standbys have acknowledged.
func (o *Outstanding) dropAcknowledged() {
	due := o.nextSequence
	for _, sequence := range o.standbys {
		due = min(due, sequence)
	}
	for len(o.updates) > 0 && o.updates[0].sequence < due {
		for key, units := range o.updates[0].units {
			o.subtract(key, units)
		}
		o.updates = o.updates[1:]
	}
}

// subtract removes acknowledged units from a key. A remainder that is only a rounding error counts
// as 0.
func (o *Outstanding) subtract(key string, units float64) {
	o.units[key] -= units
	if o.units[key] <= units*roundingFraction {
		delete(o.units, key)
	}
}

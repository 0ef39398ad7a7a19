package quota

// roundingFraction is the fraction of a sum of units that can be a rounding error.
const roundingFraction = 1e-9

// Outstanding is what an owner has granted and not all standbys have acknowledged. It numbers the
// updates to standbys, and bounds for each key what the next owner may not know.
type Outstanding struct {
	standbys     map[uint64]uint64  // by identity, the first sequence that it has not acknowledged
	updates      []usageUpdate      // that not all have acknowledged, the oldest first
	unpublished  map[string]float64 // granted units by key, in no update yet
	units        map[string]float64 // granted units by key, unpublished and in updates
	nextSequence uint64
}

// usageUpdate is one update to standbys.
type usageUpdate struct {
	sequence uint64
	units    map[string]float64 // by key
}

// SetStandbys replaces the standbys. A new one has to acknowledge updates from now on only.
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

// MayGrant reports whether units of a key may be granted: the first ones always, whatever their
// number, further ones while all stay within Plan.MaxUnacknowledged.
func (o *Outstanding) MayGrant(key string, p Plan, units float64) bool {
	unacknowledged := o.units[key]
	return unacknowledged <= 0 || unacknowledged+units <= p.MaxUnacknowledged
}

// AddGranted adds units that were granted, or that a lessee borrowed and has reported. It reports
// whether to publish the next update at once.
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

// NextUpdate returns the next update for all standbys: its sequence and units by key, which must
// not be changed.
func (o *Outstanding) NextUpdate() (sequence uint64, units map[string]float64) {
	sequence, units = o.nextSequence, o.unpublished
	o.nextSequence++
	o.unpublished = map[string]float64{}
	if len(units) > 0 { // an empty update needs no acknowledgement of its own
		o.updates = append(o.updates, usageUpdate{sequence, units})
	}
	o.dropAcknowledged()
	return sequence, units
}

// HasPending reports whether grants are unpublished or not acknowledged by all.
func (o *Outstanding) HasPending() bool { return len(o.updates) > 0 || len(o.unpublished) > 0 }

// Acknowledge takes note that a standby knows of an update and of those before, or that it knows
// which it lacks.
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

// subtract takes acknowledged units off a key. A rest that is a rounding error counts as none.
func (o *Outstanding) subtract(key string, units float64) {
	o.units[key] -= units
	if o.units[key] <= units*roundingFraction {
		delete(o.units, key)
	}
}

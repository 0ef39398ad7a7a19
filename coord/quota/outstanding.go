package quota

// Outstanding is what an owner has granted and not all of those who stand by have acknowledged. It numbers the words that tell them, and
// bounds what the next owner can't know: while a key has no room, its owner grants nothing.
type Outstanding struct {
	standbys map[uint64]uint64  // by identity, the number of the first word that it has not acknowledged
	words    []word             // that not all have acknowledged, the oldest first
	untold   map[string]float64 // granted, by key, and in no word yet
	units    map[string]float64 // granted, by key: untold and in words
	next     uint64             // number of the next word
}

// word is what standbys are told at once.
type word struct {
	number uint64
	units  map[string]float64 // by key
}

// StandBy sets who stands by. One who was not among them before acknowledges what it is told from now on.
func (o *Outstanding) StandBy(identities []uint64) {
	before := o.standbys
	o.standbys = map[uint64]uint64{}
	for _, identity := range identities {
		due, stoodBy := before[identity]
		if !stoodBy {
			due = o.next
		}
		o.standbys[identity] = due
	}
	o.drop()
}

// Room tells whether units of a key may be granted: the first are, whatever their number, and more where all stay within the plan's Ahead.
func (o *Outstanding) Room(key string, p Plan, units float64) bool {
	ahead := o.units[key]
	return ahead <= 0 || ahead+units <= p.Ahead
}

// Granted notes units that were granted, or that a process borrowed and has reported. It tells whether to tell the standbys at once.
func (o *Outstanding) Granted(key string, p Plan, units float64) (tellNow bool) {
	if o.untold == nil {
		o.untold = map[string]float64{}
	}
	if o.units == nil {
		o.units = map[string]float64{}
	}
	o.untold[key] += units
	o.units[key] += units
	return o.untold[key] >= min(tellPart*p.Rate, p.Ahead*tellAhead)
}

// Tell is the next word to all standbys, with the units by key, which are not to be changed.
func (o *Outstanding) Tell() (number uint64, units map[string]float64) {
	number, units = o.next, o.untold
	o.next++
	o.untold = map[string]float64{}
	if len(units) > 0 { // who acknowledges a later word needs not acknowledge an empty one
		o.words = append(o.words, word{number, units})
	}
	o.drop()
	return number, units
}

// Waits tells whether words or grants wait for a standby.
func (o *Outstanding) Waits() bool { return len(o.words) > 0 || len(o.untold) > 0 }

// Acknowledged takes in that a standby knows of a word, and of those before it, or knows that it does not.
func (o *Outstanding) Acknowledged(standby, number uint64) {
	due, stands := o.standbys[standby]
	if !stands || number < due || number >= o.next {
		return
	}
	o.standbys[standby] = number + 1
	o.drop()
}

// drop forgets the words that all standbys have acknowledged.
func (o *Outstanding) drop() {
	due := o.next
	for _, number := range o.standbys {
		due = min(due, number)
	}
	for len(o.words) > 0 && o.words[0].number < due {
		for key, units := range o.words[0].units {
			o.forget(key, units)
		}
		o.words = o.words[1:]
	}
}

// forget takes units of a word off; what is left of a rounding error is nothing.
func (o *Outstanding) forget(key string, units float64) {
	o.units[key] -= units
	if o.units[key] <= units*roundingPart {
		delete(o.units, key)
	}
}

// roundingPart is the part of a sum of units that can be due to rounding.
const roundingPart = 1e-9

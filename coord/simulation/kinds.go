package simulation

import (
	"slices"
	"time"
)

// Kind is a kind of fault. Its text is the kind's name on the operators' test bench, followed by
// the variant's if there is one.
type Kind string

// The kinds that concern the machines of the register. Other kinds of the test bench concern
// clients, hosts or routers without state; docs/design/control.md says where each is run.
const (
	NodeKill             Kind = "node_kill"
	NodeKillPower        Kind = "node_kill power"
	NodeKillAgain        Kind = "node_kill hard"
	RollTerm             Kind = "roll_term"
	ReplaceCore          Kind = "replace_core"
	ReplacePlanned       Kind = "replace_core planned"
	ReplaceOldest        Kind = "replace_core oldest"
	ReplaceTwice         Kind = "replace_core twice"
	SeedTurnover         Kind = "seed_turnover"
	AckKill              Kind = "after_ack_kill"
	AckKillTimed         Kind = "after_ack_kill timed"
	AckWipe              Kind = "after_ack_wipe"
	AckWipeOldest        Kind = "after_ack_wipe oldest"
	WipeDuringVote       Kind = "after_ack_wipe in a vote"
	DiskSlow             Kind = "disk_slow"
	DiskFull             Kind = "disk_full"
	DiskStall            Kind = "disk_stall"
	PartitionCore        Kind = "core_cut"
	PartitionOneWay      Kind = "core_cut one_way"
	PartitionHalves      Kind = "core_cut split"
	PartitionBehind      Kind = "core_cut behind"
	PartitionSeeds       Kind = "core_cut seeds"
	PartitionBoth        Kind = "core_cut both"
	PartitionRelieve     Kind = "core_cut relieve"
	PartitionNode        Kind = "node_cut"
	NodeFreeze           Kind = "node_freeze"
	NodeSlow             Kind = "node_slow"
	CPUQuota             Kind = "processor quota"
	ResetConns           Kind = "reset_conns"
	HerdKill             Kind = "herd_kill core"
	HerdKillOff          Kind = "herd_kill core off"
	HerdKillAcknowledged Kind = "herd_kill core taken"
	PowerOffAll          Kind = "power_off_all"
	WipeAfterAck         Kind = "wipe_after_ack"
	KillAll              Kind = "kill_all"
)

// Kinds returns all kinds, in a fixed order.
func Kinds() []Kind {
	all := make([]Kind, 0, len(injectors))
	for kind := range injectors {
		all = append(all, kind)
	}
	slices.Sort(all)
	return all
}

// injectors contains a function for each kind that injects a fault of that kind. The function
// returns false if the fault isn't possible now.
var injectors map[Kind]func(d *FaultInjector) bool

func init() {
	injectors = map[Kind]func(d *FaultInjector) bool{
		NodeKill:         func(d *FaultInjector) bool { return d.kill(false) },
		NodeKillPower:    func(d *FaultInjector) bool { return d.kill(true) },
		NodeKillAgain:    (*FaultInjector).killRepeatedly,
		RollTerm:         (*FaultInjector).restart,
		ReplaceCore:      func(d *FaultInjector) bool { return d.replace(d.pickProcess()) },
		ReplacePlanned:   func(d *FaultInjector) bool { return d.replacePlanned(d.pickProcess()) },
		ReplaceOldest:    func(d *FaultInjector) bool { return d.replace(d.oldestDisk()) },
		ReplaceTwice:     (*FaultInjector).replaceTwice,
		SeedTurnover:     (*FaultInjector).changeSeeds,
		AckKill:          func(d *FaultInjector) bool { return d.losePowerAfterAck(d.drawShortDelay(), false) },
		AckKillTimed:     func(d *FaultInjector) bool { return d.losePowerAfterAck(d.drawDelay(), false) },
		AckWipe:          func(d *FaultInjector) bool { return d.losePowerAfterAck(d.drawShortDelay(), true) },
		AckWipeOldest:    func(d *FaultInjector) bool { return d.wipe(d.oldestDisk()) },
		WipeDuringVote:   (*FaultInjector).wipeDuringVote,
		DiskSlow:         func(d *FaultInjector) bool { return d.slowDisk(29 * d.world.Sync) },
		DiskStall:        func(d *FaultInjector) bool { return d.slowDisk(0) },
		DiskFull:         (*FaultInjector).fullDisk,
		PartitionCore:    func(d *FaultInjector) bool { return d.partitionOne(false) },
		PartitionOneWay:  func(d *FaultInjector) bool { return d.partitionOne(true) },
		PartitionHalves:  (*FaultInjector).partitionHalves,
		PartitionBehind:  (*FaultInjector).leaveMinorityBehind,
		PartitionSeeds:   (*FaultInjector).partitionSeeds,
		PartitionBoth:    (*FaultInjector).partitionAndRestart,
		PartitionRelieve: (*FaultInjector).restartMajorityAtHeal,
		PartitionNode:    func(d *FaultInjector) bool { return d.partitionOne(false) },
		NodeFreeze:       (*FaultInjector).freeze,
		NodeSlow: func(d *FaultInjector) bool {
			return d.freezeOnePeriodically(500*time.Millisecond, 400*time.Millisecond)
		},
		CPUQuota:             func(d *FaultInjector) bool { return d.freezeAllPeriodically(100*time.Millisecond, 70*time.Millisecond) },
		ResetConns:           (*FaultInjector).resetConnections,
		HerdKill:             func(d *FaultInjector) bool { return d.crashAll(processKill, 0) },
		HerdKillOff:          func(d *FaultInjector) bool { return d.crashAll(powerLoss, d.drawDuration()) },
		HerdKillAcknowledged: func(d *FaultInjector) bool { return d.crashAllAfterAck(powerLoss, 0) },
		PowerOffAll:          func(d *FaultInjector) bool { return d.crashAllAfterAck(powerLoss, 0) },
		KillAll:              func(d *FaultInjector) bool { return d.crashAllAfterAck(processKill, 0) },
		WipeAfterAck:         func(d *FaultInjector) bool { return d.crashAllAfterAck(powerLoss, d.world.Tolerance) },
	}
}

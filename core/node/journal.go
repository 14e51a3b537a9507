package node

import (
	"cicadavalve/core/cache"
	"cicadavalve/core/ledger"
	"cicadavalve/core/limit"
	"cicadavalve/core/once"
	"cicadavalve/core/poison"
	"cicadavalve/core/record"
	"cicadavalve/core/roll"
	"cicadavalve/core/roster"
	"cicadavalve/core/sched"
)

// OpenMsg is the first message of an incarnation's journal; it carries the settings that a replay starts from.
type OpenMsg struct {
	Settings Settings `json:"settings"`
}

// NewRegistry returns the registry of every message and command type that a node's journal can contain.
func NewRegistry() *record.Registry {
	return record.NewRegistry(
		record.TypeOf[OpenMsg](),
		record.TypeOf[ledger.BatchMsg](), record.TypeOf[ledger.InForceCmd](),
		record.TypeOf[ledger.ReadFailedMsg](), record.TypeOf[ledger.PeerStatesMsg](), record.TypeOf[ledger.AppendCmd](),
		record.TypeOf[ledger.AskPeersCmd](), record.TypeOf[ledger.DivergedCmd](),
		record.TypeOf[ledger.ProposeMsg](), record.TypeOf[ledger.AppendFailedMsg](), record.TypeOf[ledger.VerdictCmd](),
		record.TypeOf[roster.ChangedCmd](), record.TypeOf[roster.LeaseCmd](), record.TypeOf[roster.SelfMsg](),
		record.TypeOf[roster.WantMsg](), record.TypeOf[roster.HeardMsg](), record.TypeOf[roster.PingFailedMsg](),
		record.TypeOf[roster.PingCmd](), record.TypeOf[roster.AppendCmd](), record.TypeOf[roster.SupersededCmd](),
		record.TypeOf[roster.PeerStatesMsg](), record.TypeOf[roster.AskPeersCmd](), record.TypeOf[roster.DivergedCmd](),
		record.TypeOf[limit.SettledMsg](), record.TypeOf[limit.AskCmd](),
		record.TypeOf[once.CallMsg](), record.TypeOf[once.NotRunMsg](), record.TypeOf[once.DoneMsg](),
		record.TypeOf[once.AppendFailedMsg](), record.TypeOf[once.LogMsg](), record.TypeOf[once.PositionsMsg](),
		record.TypeOf[once.AskCmd](), record.TypeOf[once.AppendCmd](), record.TypeOf[once.SendCmd](),
		record.TypeOf[once.AnswerCmd](),
		record.TypeOf[sched.UpstreamsMsg](), record.TypeOf[sched.LoadMsg](), record.TypeOf[sched.UnreachableMsg](),
		record.TypeOf[sched.CheckReachCmd](), record.TypeOf[sched.UnreachedMsg](),
		record.TypeOf[sched.RulesMsg](), record.TypeOf[sched.ArriveMsg](), record.TypeOf[sched.FirstMsg](),
		record.TypeOf[sched.EndMsg](), record.TypeOf[sched.FailMsg](), record.TypeOf[sched.GoneMsg](),
		record.TypeOf[sched.TickMsg](), record.TypeOf[sched.WakeMsg](), record.TypeOf[sched.SendCmd](),
		record.TypeOf[sched.RefuseCmd](), record.TypeOf[sched.CancelCmd](), record.TypeOf[sched.ConfirmCmd](),
		record.TypeOf[sched.ConfirmedMsg](), record.TypeOf[poison.AppendCmd](),
		record.TypeOf[roll.AttemptMsg](), record.TypeOf[roll.OrderedMsg](), record.TypeOf[roll.PeerTakeBackMsg](),
		record.TypeOf[roll.AppendCmd](), record.TypeOf[roll.OrderCmd](), record.TypeOf[roll.TellCmd](),
		record.TypeOf[roll.ChangedCmd](), record.TypeOf[roll.LateCmd](),
		record.TypeOf[cache.ImportCmd](), record.TypeOf[cache.RecomputeCmd](), record.TypeOf[cache.ImportedMsg](),
		record.TypeOf[cache.ExportCmd](), record.TypeOf[cache.DropCmd](), record.TypeOf[cache.ExportedMsg](),
	)
}

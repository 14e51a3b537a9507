package node

import (
	"cicadavalve/core/limit"
	"cicadavalve/core/once"
	"cicadavalve/core/roster"
)

// toHolder converts a member to a holder of slots.
func toHolder(m roster.Member) limit.Holder {
	return limit.Holder{Entry: m.Entry, Incarnation: m.Incarnation}
}

// limitMembers converts a change of the members for the scheduler's slot limits.
func limitMembers(cmd roster.ChangedCmd) limit.MembersMsg {
	msg := limit.MembersMsg{Epoch: cmd.Epoch, HistoryUnknown: cmd.HistoryUnknown}
	for _, m := range cmd.Members {
		msg.Holders = append(msg.Holders, toHolder(m))
	}
	return msg
}

// onceMembers converts a change of the members for once-only calls, with this entry apart from the others.
// Self is empty if this incarnation is no member.
func (n *Node) onceMembers(cmd roster.ChangedCmd) once.MembersMsg {
	msg := once.MembersMsg{Epoch: cmd.Epoch, HistoryUnknown: cmd.HistoryUnknown}
	self := n.members.Self()
	for _, m := range cmd.Members {
		if m.Entry == self.Entry && m.Incarnation == self.Incarnation {
			msg.Self = m.Incarnation
			continue
		}
		msg.Others = append(msg.Others, m.Incarnation)
	}
	return msg
}

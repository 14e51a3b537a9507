package node

import (
	"cicadavalve/core/limit"
	"cicadavalve/core/once"
	"cicadavalve/core/roster"
)

func holder(m roster.Member) limit.Holder {
	return limit.Holder{Entry: m.Entry, Incarnation: m.Incarnation}
}

func membersMsg(cmd roster.ChangedCmd) limit.MembersMsg {
	msg := limit.MembersMsg{Epoch: cmd.Epoch, Cut: cmd.HistoryUnknown}
	for _, m := range cmd.Members {
		msg.Holders = append(msg.Holders, holder(m))
	}
	return msg
}

// onceMembers tells the decider about once-only calls who is a member.
func (n *Node) onceMembers(cmd roster.ChangedCmd) once.MembersMsg {
	msg := once.MembersMsg{Epoch: cmd.Epoch, Cut: cmd.HistoryUnknown}
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

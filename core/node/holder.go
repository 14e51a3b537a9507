package node

import (
	"cicadavalve/core/limit"
	"cicadavalve/core/roster"
)

func holder(m roster.Member) limit.Holder {
	return limit.Holder{Entry: m.Entry, Incarnation: m.Incarnation}
}

func membersMsg(cmd roster.ChangedCmd) limit.MembersMsg {
	msg := limit.MembersMsg{Epoch: cmd.Epoch, Cut: cmd.Cut}
	for _, m := range cmd.Members {
		msg.Holders = append(msg.Holders, holder(m))
	}
	return msg
}

package peer

import (
	"cicadavalve/core/ident"
	"cicadavalve/core/roster"
	"cicadavalve/io/peer/peerpb"
)

func encodeMember(m roster.Member) *peerpb.Member {
	return peerpb.Member_builder{
		Entry: string(m.Entry), Incarnation: string(m.Incarnation), Address: m.Address,
		PeerAddress: m.PeerAddress, Zone: string(m.Zone),
	}.Build()
}

func decodeMember(m *peerpb.Member) roster.Member {
	return roster.Member{
		Entry: ident.EntryID(m.GetEntry()), Incarnation: ident.BootID(m.GetIncarnation()),
		Address: m.GetAddress(), PeerAddress: m.GetPeerAddress(), Zone: ident.Zone(m.GetZone()),
	}
}

func encodeAccusations(accusations []roster.Accusation) (encoded []*peerpb.Accusation) {
	for _, a := range accusations {
		encoded = append(encoded, peerpb.Accusation_builder{
			By: string(a.By), Entry: string(a.Entry), Incarnation: string(a.Incarnation),
		}.Build())
	}
	return encoded
}

func decodeAccusations(encoded []*peerpb.Accusation) (accusations []roster.Accusation) {
	for _, a := range encoded {
		accusations = append(accusations, roster.Accusation{
			By: ident.EntryID(a.GetBy()), Entry: ident.EntryID(a.GetEntry()),
			Incarnation: ident.BootID(a.GetIncarnation()),
		})
	}
	return accusations
}

package peer

import (
	"context"
	"encoding/json"
	"net/http"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"cicadavalve/core/ident"
	"cicadavalve/core/ledger"
	"cicadavalve/io/peer/peerpb"
	"cicadavalve/io/peer/peerpb/peerpbconnect"
)

// Client calls one entry.
type Client struct {
	address  string
	operator peerpbconnect.OperatorClient
	peer     peerpbconnect.PeerClient
	once     peerpbconnect.OnceClient
}

// maxMessage bounds a message of another entry or an operator, in bytes: a snapshot of the whole state.
const maxMessage = 64 << 20

// NewClient returns a client of the entry at a peer address, host:port. It uses TLS if the transport of
// client is a [TLSTransport].
func NewClient(client *http.Client, address string) *Client {
	url := "http://" + address
	if _, secured := client.Transport.(*TLSTransport); secured {
		url = "https://" + address
	}
	limit := connect.WithReadMaxBytes(maxMessage)
	return &Client{
		address:  address,
		operator: peerpbconnect.NewOperatorClient(client, url, limit),
		peer:     peerpbconnect.NewPeerClient(client, url, limit),
		once:     peerpbconnect.NewOnceClient(client, url, limit),
	}
}

// Propose submits a configuration to be put in force. A proposal with the verdict [ledger.NotKnownYet] may
// still be accepted.
func (c *Client) Propose(ctx context.Context, id string, body ledger.ConfigBody) (o ledger.Outcome, err error) {
	defer func() { err = errors.Wrapf(err, "propose at %s", c.address) }()
	req := peerpb.ProposeRequest_builder{Id: id, Base: body.Base, Operator: body.Operator, Text: body.Text}.Build()
	resp, err := c.operator.Propose(ctx, connect.NewRequest(req))
	if err != nil {
		return o, err
	}
	return ledger.Outcome{
		Verdict: ledger.Verdict(resp.Msg.GetVerdict()), Version: resp.Msg.GetVersion(), Winner: resp.Msg.GetWinner(),
	}, nil
}

// Status returns the configuration in force on the entry and its view of the members.
func (c *Client) Status(ctx context.Context) (s Status, err error) {
	defer func() { err = errors.Wrapf(err, "status of %s", c.address) }()
	resp, err := c.operator.Status(ctx, connect.NewRequest(&peerpb.StatusRequest{}))
	if err != nil {
		return s, err
	}
	m := resp.Msg
	s = Status{
		Entry: ident.EntryID(m.GetEntry()), Zone: ident.Zone(m.GetZone()), Version: m.GetVersion(),
		Operator: m.GetOperator(), Text: m.GetText(), Digest: m.GetDigest(), Ready: m.GetReady(),
	}
	for _, member := range m.GetMembers() {
		s.Members = append(s.Members, decodeMember(member))
	}
	return s, nil
}

// Show fetches the document about a subject and decodes its JSON into a value.
func (c *Client) Show(ctx context.Context, subject, argument string, into any) (err error) {
	defer func() { err = errors.Wrapf(err, "show %s of %s", subject, c.address) }()
	req := peerpb.ShowRequest_builder{Subject: subject, Argument: argument}.Build()
	resp, err := c.operator.Show(ctx, connect.NewRequest(req))
	if err != nil {
		return err
	}
	return json.Unmarshal(resp.Msg.GetJson(), into)
}

package gossip

// OrgUse is the engine time that the sender gave to an organisation lately and that it could not give, in milliseconds: decaying sums
// with time constants of 8 s and 2 s.
type OrgUse struct {
	_       struct{} `cbor:",toarray"`
	Org     string
	GivenMS int
	UnmetMS int
}

// Served is the rate at which requests of a service begin to be answered at the sender.
type Served struct {
	_         struct{} `cbor:",toarray"`
	Service   string
	PerMinute int
}

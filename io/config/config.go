// Package config reads and checks the settings of a process.
package config

import (
	"net"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"cicadavalve/core/cache"
	"cicadavalve/core/ident"
	"cicadavalve/core/route"
)

// ErrInvalid marks errors in the contents of a settings, tokens or secret file.
var ErrInvalid = errors.New("invalid settings")

// Duration is a time.Duration that is written in YAML as text such as 250ms.
type Duration time.Duration

// UnmarshalYAML parses text such as 250ms.
func (d *Duration) UnmarshalYAML(raw []byte) (err error) {
	var text string
	if err := yaml.Unmarshal(raw, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	*d = Duration(parsed)
	return err
}

// MarshalYAML writes text such as 250ms.
func (d Duration) MarshalYAML() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Settings are the settings of an entry, as written in its YAML file.
type Settings struct {
	// Entry is the name of the daemon, unique among the entries.
	Entry string `yaml:"entry"`
	Zone  string `yaml:"zone"`
	// CallerAddress is the address for callers, as host:port.
	CallerAddress string `yaml:"caller_address"`
	// PeerAddress is the address for other entries and operators, as host:port.
	PeerAddress string `yaml:"peer_address"`
	// Peers are the peer addresses of other entries, as host:port, used at a start while the log is unavailable.
	Peers []string `yaml:"peers"`
	// LogURL and ListURL are the URLs of the platform's log service and VM list.
	LogURL  string `yaml:"log_url"`
	ListURL string `yaml:"list_url"`
	// TokensFile is the path of a YAML file that maps bearer tokens to organisations.
	TokensFile string `yaml:"tokens_file"`
	// CacheSecretFile is the path of the key of the organisations' cache salts, which must be the same on all entries.
	CacheSecretFile string `yaml:"cache_secret_file"`
	// TLSCert, TLSKey and TLSCA are paths of PEM files: the entry's certificate, its key, and the certificate
	// authorities that are trusted to identify other entries and operators.
	TLSCert string `yaml:"tls_cert"`
	TLSKey  string `yaml:"tls_key"`
	TLSCA   string `yaml:"tls_ca"`
	// Plaintext must be true for the peer protocol to run without TLS.
	Plaintext bool `yaml:"plaintext"`
	// Policy names the routing policy.
	Policy string `yaml:"policy"`
	// Seed seeds the random numbers used in decisions; 0 selects a random seed.
	Seed uint64 `yaml:"seed"`
	// LogFormat is json or text; LogLevel is debug, info, warn or error.
	LogFormat string `yaml:"log_format"`
	LogLevel  string `yaml:"log_level"`
	// MaxBodyBytes is the maximum size of a caller's request body.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// ProbeRate is the number of load reports fetched per second over all upstreams. The interval between those of
	// one upstream follows from it, within ProbeInterval and ProbeIntervalMax.
	ProbeRate float64 `yaml:"probe_rate"`
	// ProbeRateIdle replaces ProbeRate for upstreams without work while the entry has no work either.
	ProbeRateIdle float64 `yaml:"probe_rate_idle"`
	// ProbeIntervalIdleMax is the maximum interval between two probes of an upstream at that rate.
	ProbeIntervalIdleMax Duration `yaml:"probe_interval_idle_max"`
	ProbeInterval        Duration `yaml:"probe_interval"`
	ProbeIntervalMax     Duration `yaml:"probe_interval_max"`
	// ListInterval is the interval between reads of the VM list.
	ListInterval Duration `yaml:"list_interval"`
	// AdviceHold is how long callers may cache the response of GET /v1/entries.
	AdviceHold Duration `yaml:"advice_hold"`
	// StopTimeout is the maximum duration of a graceful shutdown.
	StopTimeout Duration `yaml:"stop_timeout"`
	// JournalBytes is the maximum size of the journal in memory. JournalRate is the maximum rate at which the journal is
	// appended to the log, in compressed bytes per second.
	JournalBytes int   `yaml:"journal_bytes"`
	JournalRate  int64 `yaml:"journal_rate"`
	// AppendBatch is the maximum number of records in one append to the log.
	AppendBatch int `yaml:"append_batch"`
	// OnceSendLimit, OnceAbandonAge and OnceWindow are limits of once-only calls. They must be the same on all
	// entries; 0 selects the default. OnceAbandonAge must exceed OnceSendLimit by the duration of the longest call.
	OnceSendLimit  Duration `yaml:"once_send_limit"`
	OnceAbandonAge Duration `yaml:"once_abandon_age"`
	OnceWindow     int64    `yaml:"once_window"`
	// JournalInterval is the interval between two journal records in the log.
	JournalInterval Duration `yaml:"journal_interval"`
	// LogTimeout is the timeout of an append to the log, of a read of it beyond the long-poll wait, and of a read of
	// the VM list.
	LogTimeout Duration `yaml:"log_timeout"`
	// Lease is how long the entry may act as a member after a read of the roster from the log, counted from the start of
	// the read; it must be the same on all entries.
	Lease Duration `yaml:"lease"`
	// LeaseMargin allows for clocks that run at different rates; it must be the same on all entries.
	LeaseMargin Duration `yaml:"lease_margin"`
	// SlotHold is the maximum time that a request holds a slot of a cold upstream; it must be the same on all entries.
	SlotHold Duration `yaml:"slot_hold"`
	// MaxColdDuration is the maximum time that an upstream stays cold after a boot.
	MaxColdDuration Duration `yaml:"cold_time"`
	// ReportLag is the maximum lag of an upstream's load report.
	ReportLag Duration `yaml:"report_lag"`
	// PingInterval is the interval between pings to another entry.
	PingInterval Duration `yaml:"ping_interval"`
	// SnapshotRecords and SnapshotInterval limit the records and the time since the newest snapshot of the configuration
	// and of the roster; each must be well below the retention of the log service.
	SnapshotRecords  int64    `yaml:"snapshot_records"`
	SnapshotInterval Duration `yaml:"snapshot_interval"`
	// MoveDwell is the minimum duration of each step of a version move.
	MoveDwell Duration `yaml:"move_dwell"`
	// WeightLease is how long a claim on loading weights lasts; it must exceed the longest load.
	WeightLease Duration `yaml:"weight_lease"`
	// UnloadGrace is how long an old version stays loaded after a move; it must exceed the longest request.
	UnloadGrace Duration `yaml:"unload_grace"`
	// UseStores enables caching context in the KV stores of the VM list.
	UseStores bool `yaml:"use_stores"`
	// ImportDeadline is the maximum time that a request waits for an import, ExportDeadline that of one export.
	ImportDeadline Duration `yaml:"import_deadline"`
	ExportDeadline Duration `yaml:"export_deadline"`
	// LinkTransfers is the maximum number of concurrent transfers over a store's link, of all entries together; it
	// must be the same on all entries. LinkRate is the assumed rate of the link in bytes per second.
	LinkTransfers int     `yaml:"link_transfers"`
	LinkRate      float64 `yaml:"link_rate"`
	// StoreMinTokens is the minimum length in tokens of a prompt whose context is cached in a store, ExportQueue the
	// maximum number of queued exports.
	StoreMinTokens int `yaml:"store_least_tokens"`
	ExportQueue    int `yaml:"export_queue"`
	// HeldTTL is how long an engine is assumed to keep context that it has just computed.
	HeldTTL Duration `yaml:"assume_held"`
	// KeepInterval is the interval at which the state of each version move is appended to the log again; it must be
	// less than half of the log's retention.
	KeepInterval Duration `yaml:"keep_interval"`
}

// maxLinkRate is the highest plausible rate of a link, in bytes per second.
const maxLinkRate = 1e15

func defaults() Settings {
	limits := cache.DefaultLimits()
	return Settings{
		Policy:        route.NameAffinity,
		LogFormat:     "json",
		LogLevel:      "info",
		MaxBodyBytes:  4 << 20,
		ProbeRate:     40,
		ProbeRateIdle: 4,
		ProbeInterval: Duration(100 * time.Millisecond),

		ProbeIntervalMax: Duration(5 * time.Second),

		ProbeIntervalIdleMax: Duration(15 * time.Second),

		ListInterval: Duration(500 * time.Millisecond),
		AdviceHold:   Duration(2 * time.Second),
		StopTimeout:  Duration(30 * time.Second),
		LogTimeout:   Duration(2 * time.Second),

		Lease:           Duration(3 * time.Second),
		LeaseMargin:     Duration(500 * time.Millisecond),
		SlotHold:        Duration(10 * time.Second),
		MaxColdDuration: Duration(5 * time.Second),
		ReportLag:       Duration(time.Second),
		PingInterval:    Duration(time.Second),

		JournalBytes:     16 << 20,
		JournalRate:      16 << 10,
		AppendBatch:      256,
		JournalInterval:  Duration(5 * time.Second),
		SnapshotRecords:  64,
		SnapshotInterval: Duration(10 * time.Minute),
		MoveDwell:        Duration(5 * time.Second),
		WeightLease:      Duration(30 * time.Second),
		UnloadGrace:      Duration(10 * time.Minute),
		KeepInterval:     Duration(5 * time.Minute),

		UseStores:      true,
		ImportDeadline: Duration(limits.ImportDeadline),
		ExportDeadline: Duration(limits.ExportDeadline),
		LinkTransfers:  limits.LinkTransfers,
		LinkRate:       limits.LinkRate,
		StoreMinTokens: limits.MinTokens,
		ExportQueue:    limits.MaxQueued,
		HeldTTL:        Duration(limits.HeldTTL),
	}
}

// Load reads and checks a settings file; an unknown key is an error.
func Load(path string) (s Settings, err error) {
	defer func() { err = errors.Wrapf(err, "settings %s", path) }()
	raw, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	return Parse(raw)
}

// Parse reads and checks settings; an unknown key is an error.
func Parse(raw []byte) (s Settings, err error) {
	s = defaults()
	if err := decode(raw, &s); err != nil {
		return s, err
	}
	return s, s.check()
}

// decode decodes YAML strictly. It returns an error for text on which the YAML library panics, such as a list with
// a tag and no value.
func decode(raw []byte, into any) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Wrapf(ErrInvalid, "YAML decoder panicked: %v", p)
		}
	}()
	err = yaml.UnmarshalWithOptions(raw, into, yaml.Strict())
	if err != nil {
		return errors.Mark(err, ErrInvalid)
	}
	return nil
}

// check validates the settings and returns all faults joined.
func (s *Settings) check() (err error) {
	var faults []error
	fault := func(bad bool, text string) {
		if bad {
			faults = append(faults, errors.Mark(errors.New(text), ErrInvalid))
		}
	}
	fault(s.Entry == "", "entry: expected a name")
	fault(s.Zone == "", "zone: expected an availability zone")
	fault(!isAddress(s.CallerAddress), "caller_address: expected host:port")
	fault(!isAddress(s.PeerAddress), "peer_address: expected host:port")
	fault(s.LogURL == "", "log_url: expected the URL of the log service")
	fault(s.ListURL == "", "list_url: expected the URL of the VM list")
	fault(s.TokensFile == "", "tokens_file: expected the path of a YAML file")
	fault(s.CacheSecretFile == "", "cache_secret_file: expected the path of a file, the same on every entry")
	keys := s.TLSCert != "" && s.TLSKey != "" && s.TLSCA != ""
	fault(!s.Plaintext && !keys, "tls_cert, tls_key, tls_ca: expected the paths of PEM files, or plaintext: true")
	fault(s.Plaintext && s.TLSCert+s.TLSKey+s.TLSCA != "", "plaintext: expected false where tls_cert, tls_key or tls_ca is set")
	fault(route.New(s.Policy, nil) == nil, "policy: unknown routing policy "+s.Policy)
	fault(s.LogFormat != "json" && s.LogFormat != "text", "log_format: expected json or text")
	fault(s.MaxBodyBytes <= 0, "max_body_bytes: expected a number above 0")
	fault(s.ProbeRate <= 0, "probe_rate: expected a number above 0")
	fault(s.ProbeRateIdle <= 0, "probe_rate_idle: expected a number above 0")
	fault(s.ProbeIntervalMax < s.ProbeInterval, "probe_interval_max: expected at least probe_interval")
	fault(s.ProbeIntervalIdleMax < s.ProbeIntervalMax, "probe_interval_idle_max: expected at least probe_interval_max")
	fault(s.JournalBytes <= 0, "journal_bytes: expected a number above 0")
	fault(s.AppendBatch <= 0, "append_batch: expected a number above 0")
	fault(s.OnceSendLimit < 0, "once_send_limit: expected a duration of at least 0")
	fault(s.OnceAbandonAge < 0, "once_abandon_age: expected a duration of at least 0")
	fault(s.OnceWindow < 0, "once_window: expected a number of at least 0")
	fault(s.JournalRate <= 0, "journal_rate: expected a number above 0")
	fault(s.SnapshotRecords <= 0, "snapshot_records: expected a number above 0")
	fault(s.LinkTransfers <= 0, "link_transfers: expected a number above 0")
	fault(!(s.LinkRate > 0 && s.LinkRate <= maxLinkRate), "link_rate: expected a number above 0, at most 1e15")
	fault(s.StoreMinTokens < cache.BlockTokens, "store_least_tokens: expected at least the size of a block, 1024")
	fault(s.ExportQueue <= 0, "export_queue: expected a number above 0")
	fault(s.HeldTTL < 0, "assume_held: expected a duration of at least 0")
	fault(!areAddresses(s.Peers), "peers: expected a list of host:port")
	for name, d := range map[string]Duration{
		"probe_interval": s.ProbeInterval, "list_interval": s.ListInterval, "advice_hold": s.AdviceHold,
		"lease": s.Lease, "lease_margin": s.LeaseMargin, "slot_hold": s.SlotHold, "cold_time": s.MaxColdDuration,
		"ping_interval": s.PingInterval, "report_lag": s.ReportLag,
		"stop_timeout": s.StopTimeout, "log_timeout": s.LogTimeout, "journal_interval": s.JournalInterval,
		"snapshot_interval": s.SnapshotInterval, "import_deadline": s.ImportDeadline, "export_deadline": s.ExportDeadline,
		"move_dwell": s.MoveDwell, "weight_lease": s.WeightLease, "unload_grace": s.UnloadGrace, "keep_interval": s.KeepInterval,
	} {
		fault(d <= 0, name+": expected a duration above 0, such as 250ms")
	}
	return errors.Join(faults...)
}

func areAddresses(texts []string) bool {
	return !slices.ContainsFunc(texts, func(text string) bool { return !isAddress(text) })
}

func isAddress(text string) bool {
	_, _, err := net.SplitHostPort(text)
	return err == nil
}

// Tokens maps bearer tokens to the organisations that hold them.
type Tokens struct {
	orgs map[string]ident.OrgID
}

// LoadTokens reads a YAML file with one entry, token: organisation, per token.
func LoadTokens(path string) (t Tokens, err error) {
	defer func() { err = errors.Wrapf(err, "tokens %s", path) }()
	raw, err := os.ReadFile(path)
	if err != nil {
		return t, err
	}
	return t, decode(raw, &t.orgs)
}

// Org returns the organisation of a token; known is false for an unknown token or one without an organisation.
func (t Tokens) Org(token string) (org ident.OrgID, known bool) {
	org, known = t.orgs[token]
	return org, known && org != ""
}

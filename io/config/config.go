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

// ErrInvalid marks every fault in the settings.
var ErrInvalid = errors.New("invalid settings")

// Duration is a time.Duration that YAML writes as text such as 250ms.
type Duration time.Duration

// UnmarshalYAML reads text such as 250ms.
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

// Settings are the settings of an entry, as the YAML file holds them.
type Settings struct {
	// Entry names the daemon; it is unique among the entries.
	Entry string `yaml:"entry"`
	Zone  string `yaml:"zone"`
	// CallerAddress is where callers connect, as host:port.
	CallerAddress string `yaml:"caller_address"`
	// PeerAddress is where other entries and operators connect, as host:port.
	PeerAddress string `yaml:"peer_address"`
	// Peers are the peer addresses of other entries, as host:port, for a start while the log is away.
	Peers []string `yaml:"peers"`
	// LogURL and ListURL locate the platform's log service and VM list.
	LogURL  string `yaml:"log_url"`
	ListURL string `yaml:"list_url"`
	// TokensFile maps bearer tokens to organisations.
	TokensFile string `yaml:"tokens_file"`
	// CacheSecretFile holds the key of the organisations' cache salts; it is the same on every entry.
	CacheSecretFile string `yaml:"cache_secret_file"`
	// TLSCert, TLSKey and TLSCA are PEM files: the entry's certificate, its key, and the
	// authorities that other entries and operators are trusted by.
	TLSCert string `yaml:"tls_cert"`
	TLSKey  string `yaml:"tls_key"`
	TLSCA   string `yaml:"tls_ca"`
	// Plaintext must be true for the peer protocol to run without TLS.
	Plaintext bool `yaml:"plaintext"`
	// Policy names the routing policy.
	Policy string `yaml:"policy"`
	// Seed seeds the random numbers of the deciders; 0 takes a random seed.
	Seed uint64 `yaml:"seed"`
	// LogFormat is json or text; LogLevel is debug, info, warn or error.
	LogFormat string `yaml:"log_format"`
	LogLevel  string `yaml:"log_level"`
	// MaxBodyBytes bounds a caller's request body.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// ProbeRate is the load reports asked a second over all upstreams; the time between two of one
	// upstream follows from it, within ProbeInterval and ProbeIntervalMax.
	ProbeRate float64 `yaml:"probe_rate"`
	// ProbeRateIdle takes the place of ProbeRate for upstreams without work while the entry has none.
	ProbeRateIdle float64 `yaml:"probe_rate_idle"`
	// ProbeIntervalIdleMax bounds the time between two probes at that rate.
	ProbeIntervalIdleMax Duration `yaml:"probe_interval_idle_max"`
	ProbeInterval        Duration `yaml:"probe_interval"`
	ProbeIntervalMax     Duration `yaml:"probe_interval_max"`
	// ListInterval is the time between readings of the VM list.
	ListInterval Duration `yaml:"list_interval"`
	// AdviceHold is how long callers may keep the answer of GET /v1/entries.
	AdviceHold Duration `yaml:"advice_hold"`
	// StopTimeout bounds a graceful shutdown.
	StopTimeout Duration `yaml:"stop_timeout"`
	// JournalBytes bounds the journal in memory, JournalRate what goes to the log, in bytes a second.
	JournalBytes int   `yaml:"journal_bytes"`
	JournalRate  int64 `yaml:"journal_rate"`
	// AppendBatch bounds the records of one append to the log.
	AppendBatch int `yaml:"append_batch"`
	// OnceSendLimit, OnceAbandonAge and OnceWindow bound once-only calls; they must be the same on all
	// entries, and 0 takes the default. The age must exceed the limit by the longest call.
	OnceSendLimit  Duration `yaml:"once_send_limit"`
	OnceAbandonAge Duration `yaml:"once_abandon_age"`
	OnceWindow     int64    `yaml:"once_window"`
	// JournalInterval is the time between two journal records in the log.
	JournalInterval Duration `yaml:"journal_interval"`
	// LogTimeout bounds one append or read of the log.
	LogTimeout Duration `yaml:"log_timeout"`
	// Lease is how long a read of the log lets the entry act as a member; it is the same on all entries.
	Lease Duration `yaml:"lease"`
	// LeaseMargin covers clocks that run at different rates; it is the same on all entries.
	LeaseMargin Duration `yaml:"lease_margin"`
	// SlotHold is the longest that one request keeps a slot of a cold upstream; it is the same on all entries.
	SlotHold Duration `yaml:"slot_hold"`
	// ColdTime is the longest that an upstream stays cold after a boot.
	ColdTime Duration `yaml:"cold_time"`
	// ReportLag is the longest that an upstream's report lags.
	ReportLag Duration `yaml:"report_lag"`
	// PingInterval is the time between pings to another entry.
	PingInterval Duration `yaml:"ping_interval"`
	// SnapshotRecords and SnapshotInterval bound what comes after the newest snapshot of the
	// configuration; each must be well below what the log service keeps.
	SnapshotRecords  int64    `yaml:"snapshot_records"`
	SnapshotInterval Duration `yaml:"snapshot_interval"`
	// MoveDwell is how long each step of a version move lasts at least.
	MoveDwell Duration `yaml:"move_dwell"`
	// WeightLease is how long a claim on a weight load lasts; it must exceed the longest load.
	WeightLease Duration `yaml:"weight_lease"`
	// UnloadGrace is how long an old version stays loaded after its move; it must exceed the longest request.
	UnloadGrace Duration `yaml:"unload_grace"`
	// UseStores lets the entry keep context in the KV stores of the VM list.
	UseStores bool `yaml:"use_stores"`
	// ImportDeadline bounds what a request waits for an import, ExportDeadline one export.
	ImportDeadline Duration `yaml:"import_deadline"`
	ExportDeadline Duration `yaml:"export_deadline"`
	// LinkTransfers bounds the transfers at once over a store's link, of all entries together; it is
	// the same on all entries. LinkRate is the link's rate in bytes a second, as far as it is known.
	LinkTransfers int     `yaml:"link_transfers"`
	LinkRate      float64 `yaml:"link_rate"`
	// StoreLeastTokens is the least prompt that is kept in a store, ExportQueue bounds the exports that wait.
	StoreLeastTokens int `yaml:"store_least_tokens"`
	ExportQueue      int `yaml:"export_queue"`
	// AssumeHeld is how long an engine is taken to hold what it has just computed.
	AssumeHeld Duration `yaml:"assume_held"`
	// KeepInterval is how often the state of each version move is appended anew; it must
	// be below half of the log's retention.
	KeepInterval Duration `yaml:"keep_interval"`
}

// mostLinkRate is the highest rate of a link, in bytes a second, that is no mistake.
const mostLinkRate = 1e15

func defaults() Settings {
	kept := cache.DefaultLimits()
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

		Lease:        Duration(3 * time.Second),
		LeaseMargin:  Duration(500 * time.Millisecond),
		SlotHold:     Duration(10 * time.Second),
		ColdTime:     Duration(5 * time.Second),
		ReportLag:    Duration(time.Second),
		PingInterval: Duration(time.Second),

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

		UseStores:        true,
		ImportDeadline:   Duration(kept.ImportDeadline),
		ExportDeadline:   Duration(kept.ExportDeadline),
		LinkTransfers:    kept.LinkTransfers,
		LinkRate:         kept.LinkRate,
		StoreLeastTokens: kept.LeastTokens,
		ExportQueue:      kept.MostQueued,
		AssumeHeld:       Duration(kept.AssumeHeld),
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

// decode refuses text on which the YAML library panics, such as a list with a tag and no value.
func decode(raw []byte, into any) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Wrapf(ErrInvalid, "not decoded: %v", p)
		}
	}()
	err = yaml.UnmarshalWithOptions(raw, into, yaml.Strict())
	if err != nil {
		return errors.Mark(err, ErrInvalid)
	}
	return nil
}

// check reports every fault at once.
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
	fault(!(s.LinkRate > 0 && s.LinkRate <= mostLinkRate), "link_rate: expected a number above 0, at most 1e15")
	fault(s.StoreLeastTokens < cache.BlockTokens, "store_least_tokens: expected at least the size of a block, 1024")
	fault(s.ExportQueue <= 0, "export_queue: expected a number above 0")
	fault(s.AssumeHeld < 0, "assume_held: expected a duration of at least 0")
	fault(!areAddresses(s.Peers), "peers: expected a list of host:port")
	for name, d := range map[string]Duration{
		"probe_interval": s.ProbeInterval, "list_interval": s.ListInterval, "advice_hold": s.AdviceHold,
		"lease": s.Lease, "lease_margin": s.LeaseMargin, "slot_hold": s.SlotHold, "cold_time": s.ColdTime,
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

// LoadTokens reads a YAML file of token: organisation.
func LoadTokens(path string) (t Tokens, err error) {
	defer func() { err = errors.Wrapf(err, "tokens %s", path) }()
	raw, err := os.ReadFile(path)
	if err != nil {
		return t, err
	}
	return t, decode(raw, &t.orgs)
}

// Org is the organisation of a token, and whether the token is known.
func (t Tokens) Org(token string) (org ident.OrgID, known bool) {
	org, known = t.orgs[token]
	return org, known && org != ""
}

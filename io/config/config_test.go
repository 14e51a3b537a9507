package config_test

import (
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"cicadavalve/io/config"
)

const goodSettings = `entry: entry-0
zone: dunedin
caller_address: 127.0.0.1:0
peer_address: 127.0.0.1:0
peers: [127.0.0.1:7001, 127.0.0.2:7001]
log_url: http://127.0.0.1:1/
list_url: http://127.0.0.1:2/
tokens_file: tokens.yaml
plaintext: true
cache_secret_file: cache.key
snapshot_records: 16
snapshot_interval: 5m
`

func TestPeersAreAddresses(t *testing.T) {
	for text, want := range map[string]bool{
		goodSettings:                      true,
		goodSettings + "seed: 7\n":        true,
		goodSettings + "unknown_key: 7\n": false,
		strings.Replace(goodSettings, "127.0.0.2:7001", "dunedin", 1): false,
	} {
		_, err := config.Parse([]byte(text))
		if diff := cmp.Diff(want, err == nil); diff != "" {
			t.Errorf("%s\naccepted (-want +got):\n%s%v", text, diff, err)
		}
	}
}

func TestStoreLimitsAreChecked(t *testing.T) {
	for text, want := range map[string]bool{
		"use_stores: false\nlink_rate: 1000\nassume_held: 0s\n": true,
		"link_rate: .nan\n":       false,
		"link_rate: -1\n":         false,
		"link_transfers: 0\n":     false,
		"store_least_tokens: 1\n": false,
		"export_queue: 0\n":       false,
		"import_deadline: 0s\n":   false,
		"export_deadline: -1s\n":  false,
		"assume_held: -1s\n":      false,
	} {
		_, err := config.Parse([]byte(goodSettings + text))
		if diff := cmp.Diff(want, err == nil); diff != "" {
			t.Errorf("%s accepted (-want +got):\n%s%v", text, diff, err)
		}
	}
}

// FuzzParse checks that accepted settings survive a round trip through YAML.
func FuzzParse(f *testing.F) {
	f.Add(goodSettings)
	f.Add("entry: [")
	f.Add("probe_interval: -1s\nseed: 99999999999999999999\n")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := config.Parse([]byte(text))
		if err != nil {
			return
		}
		raw, err := yaml.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		reparsed, err := config.Parse(raw)
		if err != nil {
			t.Fatalf("%q is accepted, its settings %q are not: %v", text, raw, err)
		}
		if diff := cmp.Diff(s, reparsed, cmpopts.EquateEmpty()); diff != "" {
			t.Fatalf("settings (-want +got):\n%s", diff)
		}
	})
}

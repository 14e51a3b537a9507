// Package load generates open-loop load on entries and checks every answer.
package load

import (
	"slices"

	"cicadavalve/core/ident"
)

// Stream is one kind of completion in a preset.
type Stream struct {
	Model ident.ModelName
	Class ident.Class
	// Weight is the stream's share of the completions.
	Weight float64
	// MaxTokens is the length of an answer, in tokens.
	MaxTokens int
	// MinBlocks and MaxBlocks are the limits of the length of a new prompt, in blocks of 1,024 tokens.
	MinBlocks int
	MaxBlocks int
}

// Preset models the load of one user of the product.
type Preset struct {
	Name    string
	Streams []Stream
	Orgs    []ident.OrgID
	Service ident.ServiceName
	// ReturnShare is the share of completions that extend an earlier prompt.
	ReturnShare float64
	// CallShare is the share of requests that are once-only calls.
	CallShare float64
}

var presets = []Preset{
	{
		Name: "otakou",
		Streams: []Stream{
			{Model: "wear-summary", Class: ident.Interactive, Weight: 0.4, MaxTokens: 24, MinBlocks: 2, MaxBlocks: 8},
			{Model: "span-check", Class: ident.Interactive, Weight: 0.4, MaxTokens: 4, MinBlocks: 1, MaxBlocks: 4},
			{Model: "defect-writeup", Class: ident.Deferred, Weight: 0.2, MaxTokens: 64, MinBlocks: 2, MaxBlocks: 8},
		},
		Orgs: []ident.OrgID{
			"otago-lines", "tram-depot", "harbour-wire", "hill-crew", "port-feeder",
			"north-span", "south-span", "survey", "council", "stores",
		},
		Service: "ticket", ReturnShare: 0.6, CallShare: 0.1,
	},
	{
		Name: "kompostfenster",
		Streams: []Stream{
			{Model: "soil-notes", Class: ident.Interactive, Weight: 0.6, MaxTokens: 24, MinBlocks: 1, MaxBlocks: 6},
			{Model: "slot-window", Class: ident.Interactive, Weight: 0.3, MaxTokens: 12, MinBlocks: 1, MaxBlocks: 4},
			{Model: "season-report", Class: ident.Deferred, Weight: 0.1, MaxTokens: 64, MinBlocks: 2, MaxBlocks: 8},
		},
		Orgs: []ident.OrgID{
			"graz-west", "graz-ost", "leibnitz", "leoben", "bruck",
			"weiz", "hartberg", "murau", "liezen", "voitsberg",
		},
		Service: "booking", ReturnShare: 0.6, CallShare: 0.3,
	},
}

// PresetNames lists the presets.
func PresetNames() (names []string) {
	for _, p := range presets {
		names = append(names, p.Name)
	}
	return names
}

// FindPreset returns the preset of a name, and whether it exists.
func FindPreset(name string) (p Preset, found bool) {
	i := slices.IndexFunc(presets, func(p Preset) bool { return p.Name == name })
	if i < 0 {
		return p, false
	}
	return presets[i], true
}

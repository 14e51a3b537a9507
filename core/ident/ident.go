// Package ident defines the identifiers shared by the other packages.
package ident

import "slices"

// OrgID names an organisation, the owner of prompts, cache and bookings.
type OrgID string

// RequestID names one request of one organisation.
type RequestID string

// UpstreamID names a model engine or an app engine.
type UpstreamID string

// EntryID names an entry daemon.
type EntryID string

// Zone names an availability zone.
type Zone string

// ModelName names a model that engines serve.
type ModelName string

// Version names one set of weights of a model.
type Version string

// ServiceName names a plain service that app engines serve.
type ServiceName string

// BootID identifies one run of a process; it changes at each start.
type BootID string

// Class is the urgency of a request.
type Class string

// Request classes, the most urgent first.
const (
	Interactive Class = "interactive"
	Standard    Class = "standard"
	Deferred    Class = "deferred"
)

// Classes lists every class, the most urgent first.
//
//	for _, c := range ident.Classes() { fmt.Println(c) }
func Classes() []Class {
	return []Class{Interactive, Standard, Deferred}
}

// Rank returns the class's index in [Classes]; an unknown class ranks as [Standard].
func (c Class) Rank() int {
	if i := slices.Index(Classes(), c); i >= 0 {
		return i
	}
	return slices.Index(Classes(), Standard)
}

// Msg is an event that updates a model.
type Msg interface{}

// Cmd is an action that a model asks its caller to perform.
type Cmd interface{}

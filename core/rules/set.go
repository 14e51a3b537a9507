// Package rules parses the operator's file: one rule per line, each with a comment
// that names who asked for it.
package rules

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"path"

	"cicadavalve/core/ident"
)

// releaseIDBytes is the number of bytes of the comment's hash in [Release.ID], which distinguish two releases of
// one request.
const releaseIDBytes = 8

// Release is the contents of a [ReleaseRequest] rule.
type Release struct {
	Digest string
	// ID depends on the digest and the comment alone.
	ID string
}

// Set is a parsed operator's file without faults.
type Set struct {
	// text is the file as the operator wrote it.
	text string
	// rules are in the order of the file.
	rules []*Rule
	// byKind groups the rules by kind, in the order of the file.
	byKind map[Kind][]*Rule
}

func newSet(text string) *Set {
	return &Set{text: text, byKind: map[Kind][]*Rule{}}
}

// groupByKind fills byKind from rules.
func (s *Set) groupByKind() {
	for _, r := range s.rules {
		s.byKind[r.kind] = append(s.byKind[r.kind], r)
	}
}

// conflicts returns a fault for each rule whose kind and subject an earlier rule has.
func (s *Set) conflicts() (faults []Fault) {
	type key struct {
		kind    Kind
		subject string
	}
	seen := map[key]int{}
	for _, r := range s.rules {
		k := key{r.kind, r.Subject()}
		if first, ok := seen[k]; ok {
			expected := fmt.Sprintf("no second %q rule for it; the first is on line %d", r.kind, first)
			faults = append(faults, Fault{r.line, 1, r.Subject(), expected})
			continue
		}
		seen[k] = r.line
	}
	return faults
}

// Text returns the file as the operator wrote it.
func (s *Set) Text() string { return s.text }

// Rules returns all rules in the order of the file.
func (s *Set) Rules() []*Rule { return s.rules }

// ByKind returns the rules of one kind in the order of the file.
func (s *Set) ByKind(kind Kind) []*Rule { return s.byKind[kind] }

func (s *Set) findExact(kind Kind, subject string) *Rule {
	for _, r := range s.byKind[kind] {
		if r.Subject() == subject {
			return r
		}
	}
	return nil
}

func (s *Set) findPattern(kind Kind, subject string) *Rule {
	for _, r := range s.byKind[kind] {
		if ok, err := path.Match(r.Subject(), subject); ok && err == nil {
			return r
		}
	}
	return nil
}

// ModelClass returns the class of a model. If no rule names the model, it is [ident.Standard] and known is false.
func (s *Set) ModelClass(model ident.ModelName) (class ident.Class, known bool) {
	r := s.findExact(RouteModel, string(model))
	if r == nil {
		return ident.Standard, false
	}
	return r.Class(), true
}

// Service reports whether a service's calls run at most once, and whether a rule names the service.
func (s *Set) Service(service ident.ServiceName) (once, known bool) {
	r := s.findExact(RouteService, string(service))
	if r == nil {
		return false, false
	}
	return r.Value("runs") == "once", true
}

// ServedVersion returns the version of a model for new requests, or "" if no rule names one.
func (s *Set) ServedVersion(model ident.ModelName) ident.Version {
	r := s.findExact(ServeModel, string(model))
	if r == nil {
		return ""
	}
	return ident.Version(r.Value("version"))
}

// Drained reports whether a rule excludes an upstream in a zone from new work.
func (s *Set) Drained(upstream ident.UpstreamID, zone ident.Zone) bool {
	return s.findExact(DrainZone, string(zone)) != nil || s.findPattern(DrainUpstream, string(upstream)) != nil
}

// ColdLimit returns the maximum number of streams on an upstream while it is cold. known is false if no rule
// sets it.
func (s *Set) ColdLimit(upstream ident.UpstreamID) (limit int, known bool) {
	r := s.findPattern(BearsUpstream, string(upstream))
	if r == nil {
		return 0, false
	}
	return int(r.number), true
}

// IgnoresFencing reports whether an upstream accepts orders with an old fencing number.
func (s *Set) IgnoresFencing(upstream ident.UpstreamID) bool {
	r := s.findPattern(OrdersUpstream, string(upstream))
	return r != nil && r.Value("fencing") == "ignores-fencing"
}

// Released returns the releases of requests from quarantine in the order of the file. A release whose
// comment changes gets a new ID.
func (s *Set) Released() (released []Release) {
	for _, r := range s.ByKind(ReleaseRequest) {
		sum := sha256.Sum256([]byte(r.comment))
		released = append(released, Release{Digest: r.Subject(), ID: r.Subject() + "/" + hex.EncodeToString(sum[:releaseIDBytes])})
	}
	return released
}

// OrgShare returns an organisation's share of capacity in (0,1]. known is false if no rule sets it.
func (s *Set) OrgShare(org ident.OrgID) (share float64, known bool) {
	r := s.findExact(LimitOrganisation, string(org))
	if r == nil {
		return 0, false
	}
	return r.number / 100, true
}

// Package rules reads the operator's file: one rule a line, each with a comment
// that names who asked for it.
package rules

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"path"

	"cicadavalve/core/ident"
)

// releaseIDBytes is the part of a comment's hash that tells two releases of one request apart.
const releaseIDBytes = 8

// Release is a ReleaseRequest rule.
type Release struct {
	Digest string
	// ID is the same for the same digest and comment.
	ID string
}

// Set is a checked operator's file.
type Set struct {
	// text is the file as the operator wrote it.
	text string
	// rules are in the order of the file.
	rules []*Rule
	// byKind holds the same rules by kind, each in the order of the file.
	byKind map[Kind][]*Rule
}

func newSet(text string) *Set {
	return &Set{text: text, byKind: map[Kind][]*Rule{}}
}

// index fills byKind from rules.
func (s *Set) index() {
	for _, r := range s.rules {
		s.byKind[r.kind] = append(s.byKind[r.kind], r)
	}
}

// conflicts finds two rules of one kind about one subject.
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

// Text is the file as the operator wrote it.
func (s *Set) Text() string { return s.text }

// Rules lists every rule in the order of the file.
func (s *Set) Rules() []*Rule { return s.rules }

// Of lists the rules of one kind in the order of the file.
func (s *Set) Of(kind Kind) []*Rule { return s.byKind[kind] }

func (s *Set) find(kind Kind, subject string) *Rule {
	for _, r := range s.byKind[kind] {
		if r.Subject() == subject {
			return r
		}
	}
	return nil
}

func (s *Set) match(kind Kind, subject string) *Rule {
	for _, r := range s.byKind[kind] {
		if ok, err := path.Match(r.Subject(), subject); ok && err == nil {
			return r
		}
	}
	return nil
}

// ModelClass is the class that the rules give a model, and whether they name the model.
func (s *Set) ModelClass(model ident.ModelName) (class ident.Class, known bool) {
	r := s.find(RouteModel, string(model))
	if r == nil {
		return ident.Standard, false
	}
	return r.Class(), true
}

// Service reports whether the rules name a service, and whether its calls run at most once.
func (s *Set) Service(service ident.ServiceName) (once, known bool) {
	r := s.find(RouteService, string(service))
	if r == nil {
		return false, false
	}
	return r.Word("runs") == "once", true
}

// ServedVersion is the version of a model that new requests use, or empty where no rule names one.
func (s *Set) ServedVersion(model ident.ModelName) ident.Version {
	r := s.find(ServeModel, string(model))
	if r == nil {
		return ""
	}
	return ident.Version(r.Word("version"))
}

// Drained reports whether a rule keeps new work from an upstream in a zone.
func (s *Set) Drained(upstream ident.UpstreamID, zone ident.Zone) bool {
	return s.find(DrainZone, string(zone)) != nil || s.match(DrainUpstream, string(upstream)) != nil
}

// ColdLimit is the number of streams that an upstream bears while cold, and whether a rule says so.
func (s *Set) ColdLimit(upstream ident.UpstreamID) (limit int, known bool) {
	r := s.match(BearsUpstream, string(upstream))
	if r == nil {
		return 0, false
	}
	return int(r.number), true
}

// IgnoresFencing reports whether an upstream accepts orders with an old fencing number.
func (s *Set) IgnoresFencing(upstream ident.UpstreamID) bool {
	r := s.match(OrdersUpstream, string(upstream))
	return r != nil && r.Word("fencing") == "ignores-fencing"
}

// Released lists the digests of the requests whose quarantine the operator has ended, in the order of
// the file, each with an id that is another one where the line's comment is.
func (s *Set) Released() (released []Release) {
	for _, r := range s.Of(ReleaseRequest) {
		sum := sha256.Sum256([]byte(r.comment))
		released = append(released, Release{Digest: r.Subject(), ID: r.Subject() + "/" + hex.EncodeToString(sum[:releaseIDBytes])})
	}
	return released
}

// OrgShare is an organisation's share of capacity in (0,1], and whether a rule sets it.
func (s *Set) OrgShare(org ident.OrgID) (share float64, known bool) {
	r := s.find(LimitOrganisation, string(org))
	if r == nil {
		return 0, false
	}
	return r.number / 100, true
}

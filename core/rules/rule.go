package rules

import (
	"time"

	"cicadavalve/core/ident"
)

// Kind is the first two words of a rule; they determine the rest of its grammar.
type Kind string

// The kinds of rules.
const (
	RouteModel        Kind = "route model"
	RouteService      Kind = "route service"
	ServeModel        Kind = "serve model"
	LimitOrganisation Kind = "limit organisation"
	DrainZone         Kind = "drain az"
	DrainUpstream     Kind = "drain upstream"
	MoveModel         Kind = "move model"
	BearsUpstream     Kind = "bears upstream"
	OrdersUpstream    Kind = "orders upstream"
	ReleaseRequest    Kind = "release request"
)

// Rule is one parsed line of the operator's file.
type Rule struct {
	// line is the rule's line number, from 1.
	line int
	kind Kind
	// comment names who asked for the rule; it is never empty.
	comment string
	// values maps the name of each slot to its word.
	values map[string]string
	// deadline is set for MoveModel only.
	deadline time.Time
	// number is the percentage or count of the rule, or 0 if it has none.
	number float64
}

// Line returns the line number in the operator's file, from 1.
func (r *Rule) Line() int { return r.line }

// Kind returns the rule's kind.
func (r *Rule) Kind() Kind { return r.kind }

// Comment returns the rule's comment, which names who asked for it.
func (r *Rule) Comment() string { return r.comment }

// Subject returns the model, service, organisation, zone, upstream or request digest that the rule is about.
func (r *Rule) Subject() string { return r.values["name"] }

// Value returns the word of a named slot, or "" if the rule has none.
func (r *Rule) Value(slot string) string { return r.values[slot] }

// Number returns the percentage or count of the rule, or 0 if it has none.
func (r *Rule) Number() float64 { return r.number }

// Deadline returns the time by which a move must be complete, or the zero time for other kinds.
func (r *Rule) Deadline() time.Time { return r.deadline }

// Class returns the class of a [RouteModel] rule.
func (r *Rule) Class() ident.Class { return ident.Class(r.values["class"]) }

package rules

import (
	"time"

	"cicadavalve/core/ident"
)

// Kind is the first two words of a rule, which fix the rest of its grammar.
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
	// comment is never empty: it names who asked for the rule.
	comment string
	// words maps each value of the rule's grammar to its checked text.
	words map[string]string
	// deadline is set for MoveModel alone.
	deadline time.Time
	// number is the percentage or count of the rule, where it has one.
	number float64
}

// Line is the line number in the operator's file, from 1.
func (r *Rule) Line() int { return r.line }

// Kind is the rule's kind.
func (r *Rule) Kind() Kind { return r.kind }

// Comment names who asked for the rule.
func (r *Rule) Comment() string { return r.comment }

// Subject is the model, service, organisation, zone or upstream that the rule is about.
func (r *Rule) Subject() string { return r.words["name"] }

// Word is the text of a named value, or empty where the rule has none.
func (r *Rule) Word(name string) string { return r.words[name] }

// Number is the percentage or count of the rule, or 0.
func (r *Rule) Number() float64 { return r.number }

// Deadline is the time by which a move must be complete, or zero.
func (r *Rule) Deadline() time.Time { return r.deadline }

// Class is the class of a RouteModel rule.
func (r *Rule) Class() ident.Class { return ident.Class(r.words["class"]) }

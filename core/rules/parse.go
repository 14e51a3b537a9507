package rules

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// Fault is one mistake in the operator's file.
type Fault struct {
	// Line and Column count from 1; Column counts bytes.
	Line     int    `json:"line"`
	Column   int    `json:"column"`
	Word     string `json:"word"`
	Expected string `json:"expected"`
}

// Error gives the fault in one line: line, column, word and what was expected.
func (f Fault) Error() string {
	return fmt.Sprintf("line %d, column %d: %q: expected %s", f.Line, f.Column, f.Word, f.Expected)
}

// maxRuleBytes is the longest accepted line.
const maxRuleBytes = 1024

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

var globPattern = regexp.MustCompile(`^[A-Za-z0-9*][A-Za-z0-9._*-]{0,62}$`)

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// word is a token of a line with its column.
type word struct {
	text   string
	column int
}

// slot checks one word of a rule's grammar.
type slot struct {
	// literal is the only accepted word, when not empty.
	literal string
	// value names the slot's text in Rule.words, when literal is empty.
	value    string
	expected string
	check    func(r *Rule, text string) bool
}

func lit(text string) slot { return slot{literal: text, expected: strconv.Quote(text)} }

func name(expected string) slot {
	return slot{value: "name", expected: expected, check: matches(namePattern)}
}

func named(value, expected string) slot {
	return slot{value: value, expected: expected, check: matches(namePattern)}
}

func glob() slot {
	return slot{value: "name", expected: "an upstream name or pattern with *", check: matches(globPattern)}
}

// digest is the keyed digest of a request, as show quarantine prints it.
func digest() slot {
	return slot{value: "name", expected: "a digest of 64 hexadecimal digits", check: matches(digestPattern)}
}

func choice(value string, options ...string) slot {
	check := func(_ *Rule, text string) bool {
		for _, o := range options {
			if o == text {
				return true
			}
		}
		return false
	}
	return slot{value: value, expected: "one of " + strings.Join(options, ", "), check: check}
}

func matches(p *regexp.Regexp) func(*Rule, string) bool {
	return func(_ *Rule, text string) bool { return p.MatchString(text) }
}

func percent() slot {
	return slot{value: "share", expected: "a percentage above 0% and up to 100%", check: parsePercent}
}

func parsePercent(r *Rule, text string) bool {
	digits, ok := strings.CutSuffix(text, "%")
	if !ok {
		return false
	}
	n, err := strconv.ParseFloat(digits, 64)
	r.number = n
	return err == nil && n > 0 && n <= 100
}

func count() slot {
	return slot{value: "count", expected: "a whole number from 0 to 10000", check: parseCount}
}

func parseCount(r *Rule, text string) bool {
	n, err := strconv.ParseUint(text, 10, 32)
	r.number = float64(n)
	return err == nil && n <= 10000
}

func deadline() slot {
	return slot{value: "by", expected: "a time such as 2026-12-05T18:00:00Z", check: parseDeadline}
}

func parseDeadline(r *Rule, text string) bool {
	t, err := time.Parse(time.RFC3339, text)
	r.deadline = t
	return err == nil
}

// grammar gives the words after each kind's first two.
var grammar = map[Kind][]slot{
	RouteModel:        {name("a model name"), lit("class"), choice("class", "interactive", "standard", "deferred")},
	RouteService:      {name("a service name"), lit("runs"), choice("runs", "once", "repeatable")},
	ServeModel:        {name("a model name"), lit("version"), named("version", "a version name")},
	LimitOrganisation: {name("an organisation name"), lit("share"), percent()},
	DrainZone:         {name("an availability zone")},
	DrainUpstream:     {glob()},
	MoveModel: {
		name("a model name"), lit("from"), named("from", "a version name"),
		lit("to"), named("to", "a version name"), lit("by"), deadline(), lit("share"), percent(),
	},
	BearsUpstream:  {glob(), lit("cold"), count()},
	OrdersUpstream: {glob(), choice("fencing", "ignores-fencing", "checks-fencing")},
	ReleaseRequest: {digest()},
}

var kindsExpected = "a rule: route model|service, serve model, limit organisation, drain az|upstream, " +
	"move model, bears upstream, orders upstream, release request"

// Parse reads the operator's file. It returns every fault, not the first alone;
// the set is nil where there is any.
//
//	set, faults := rules.Parse("drain az mosgiel # asked by: depot lead\n")
func Parse(text string) (set *Set, faults []Fault) {
	set = newSet(text)
	for i, line := range strings.Split(text, "\n") {
		faults = append(faults, set.parseLine(i+1, line)...)
	}
	faults = append(faults, set.conflicts()...)
	if len(faults) > 0 {
		return nil, faults
	}
	set.index()
	return set, nil
}

func (s *Set) parseLine(number int, line string) (faults []Fault) {
	line = strings.TrimSuffix(line, "\r")
	if len(line) > maxRuleBytes {
		return []Fault{{Line: number, Column: maxRuleBytes, Word: "", Expected: "a line of at most 1024 bytes"}}
	}
	body, comment, commented := strings.Cut(line, "#")
	words := split(body)
	if len(words) == 0 {
		return nil
	}
	rule := &Rule{line: number, comment: strings.TrimSpace(comment), words: map[string]string{}}
	faults = rule.parseWords(words)
	if !commented || rule.comment == "" {
		end := len(strings.TrimRightFunc(body, unicode.IsSpace)) + 1
		faults = append(faults, Fault{number, end, "", "a comment that names who asked, such as # asked by: depot lead"})
	}
	if len(faults) == 0 {
		s.rules = append(s.rules, rule)
	}
	return faults
}

func (r *Rule) parseWords(words []word) []Fault {
	first := words[0].text
	second := ""
	if len(words) > 1 {
		second = words[1].text
	}
	r.kind = Kind(first + " " + second)
	slots, ok := grammar[r.kind]
	if !ok {
		return []Fault{{r.line, words[0].column, strings.TrimSpace(string(r.kind)), kindsExpected}}
	}
	return r.parseSlots(slots, words[2:], endColumn(words))
}

func endColumn(words []word) int {
	last := words[len(words)-1]
	return last.column + len(last.text)
}

func (r *Rule) parseSlots(slots []slot, words []word, end int) (faults []Fault) {
	for i, s := range slots {
		if i >= len(words) {
			return append(faults, Fault{r.line, end, "", s.expected})
		}
		w := words[i]
		if !s.accepts(r, w.text) {
			faults = append(faults, Fault{r.line, w.column, w.text, s.expected})
			continue
		}
		if s.value != "" {
			r.words[s.value] = w.text
		}
	}
	if len(words) > len(slots) {
		extra := words[len(slots)]
		faults = append(faults, Fault{r.line, extra.column, extra.text, "the end of the rule, or # and a comment"})
	}
	return faults
}

func (s slot) accepts(r *Rule, text string) bool {
	if s.literal != "" {
		return s.literal == text
	}
	return s.check(r, text)
}

func split(body string) (words []word) {
	start := -1
	for i, c := range body + " " {
		space := unicode.IsSpace(c)
		if !space && start < 0 {
			start = i
		}
		if space && start >= 0 {
			words = append(words, word{body[start:i], start + 1})
			start = -1
		}
	}
	return words
}

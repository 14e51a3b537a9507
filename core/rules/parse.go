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

// Error formats the fault in one line: line, column, word and what was expected.
func (f Fault) Error() string {
	return fmt.Sprintf("line %d, column %d: %q: expected %s", f.Line, f.Column, f.Word, f.Expected)
}

// maxRuleBytes is the maximum length of a line in bytes.
const maxRuleBytes = 1024

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

var globPattern = regexp.MustCompile(`^[A-Za-z0-9*][A-Za-z0-9._*-]{0,62}$`)

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// word is a token of a line with its column.
type word struct {
	text   string
	column int
}

// slot describes one word of a rule's grammar.
type slot struct {
	// keyword is the only accepted word, if not empty.
	keyword string
	// name is the key of the word in Rule.values, if keyword is empty.
	name     string
	expected string
	check    func(r *Rule, text string) bool
}

func keyword(text string) slot { return slot{keyword: text, expected: strconv.Quote(text)} }

func nameSlot(expected string) slot {
	return slot{name: "name", expected: expected, check: matches(namePattern)}
}

func namedSlot(name, expected string) slot {
	return slot{name: name, expected: expected, check: matches(namePattern)}
}

func patternSlot() slot {
	return slot{name: "name", expected: "an upstream name or pattern with *", check: matches(globPattern)}
}

// digestSlot accepts the keyed digest of a request, as show quarantine prints it.
func digestSlot() slot {
	return slot{name: "name", expected: "a digest of 64 hexadecimal digits", check: matches(digestPattern)}
}

func choiceSlot(name string, options ...string) slot {
	check := func(_ *Rule, text string) bool {
		for _, o := range options {
			if o == text {
				return true
			}
		}
		return false
	}
	return slot{name: name, expected: "one of " + strings.Join(options, ", "), check: check}
}

func matches(p *regexp.Regexp) func(*Rule, string) bool {
	return func(_ *Rule, text string) bool { return p.MatchString(text) }
}

func percentSlot() slot {
	return slot{name: "share", expected: "a percentage above 0% and up to 100%", check: parsePercent}
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

func countSlot() slot {
	return slot{name: "count", expected: "a whole number from 0 to 10000", check: parseCount}
}

func parseCount(r *Rule, text string) bool {
	n, err := strconv.ParseUint(text, 10, 32)
	r.number = float64(n)
	return err == nil && n <= 10000
}

func deadlineSlot() slot {
	return slot{name: "by", expected: "a time such as 2026-12-05T18:00:00Z", check: parseDeadline}
}

func parseDeadline(r *Rule, text string) bool {
	t, err := time.Parse(time.RFC3339, text)
	r.deadline = t
	return err == nil
}

// grammar lists the slots after the first two words of each kind.
var grammar = map[Kind][]slot{
	RouteModel:        {nameSlot("a model name"), keyword("class"), choiceSlot("class", "interactive", "standard", "deferred")},
	RouteService:      {nameSlot("a service name"), keyword("runs"), choiceSlot("runs", "once", "repeatable")},
	ServeModel:        {nameSlot("a model name"), keyword("version"), namedSlot("version", "a version name")},
	LimitOrganisation: {nameSlot("an organisation name"), keyword("share"), percentSlot()},
	DrainZone:         {nameSlot("an availability zone")},
	DrainUpstream:     {patternSlot()},
	MoveModel: {
		nameSlot("a model name"), keyword("from"), namedSlot("from", "a version name"),
		keyword("to"), namedSlot("to", "a version name"), keyword("by"), deadlineSlot(), keyword("share"), percentSlot(),
	},
	BearsUpstream:  {patternSlot(), keyword("cold"), countSlot()},
	OrdersUpstream: {patternSlot(), choiceSlot("fencing", "ignores-fencing", "checks-fencing")},
	ReleaseRequest: {digestSlot()},
}

var kindsExpected = "a rule: route model|service, serve model, limit organisation, drain az|upstream, " +
	"move model, bears upstream, orders upstream, release request"

// Parse parses the operator's file. It returns all faults, not only the first;
// the set is nil if there are any.
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
	set.groupByKind()
	return set, nil
}

func (s *Set) parseLine(number int, line string) (faults []Fault) {
	line = strings.TrimSuffix(line, "\r")
	if len(line) > maxRuleBytes {
		return []Fault{{Line: number, Column: maxRuleBytes, Word: "", Expected: "a line of at most 1024 bytes"}}
	}
	body, comment, commented := strings.Cut(line, "#")
	words := splitWords(body)
	if len(words) == 0 {
		return nil
	}
	rule := &Rule{line: number, comment: strings.TrimSpace(comment), values: map[string]string{}}
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
		if s.name != "" {
			r.values[s.name] = w.text
		}
	}
	if len(words) > len(slots) {
		extra := words[len(slots)]
		faults = append(faults, Fault{r.line, extra.column, extra.text, "the end of the rule, or # and a comment"})
	}
	return faults
}

func (s slot) accepts(r *Rule, text string) bool {
	if s.keyword != "" {
		return s.keyword == text
	}
	return s.check(r, text)
}

func splitWords(body string) (words []word) {
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

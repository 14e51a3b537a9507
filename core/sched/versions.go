package sched

import "cicadavalve/core/ident"

// Versioner chooses the weight version of each new request.
type Versioner interface {
	// Version is what a new request runs on; served is the version that the rules name, or empty.
	Version(org ident.OrgID, model ident.ModelName, promptRoot uint64, served ident.Version) ident.Version
	// Again is what a request runs on after an attempt that brought no token.
	Again(model ident.ModelName, version ident.Version) ident.Version
}

// WithVersions asks a versioner for the version of each new request; by default it is the one that the rules name.
func WithVersions(v Versioner) Option {
	return func(m *Model) { m.versions = v }
}

// servedOnly is the [Versioner] of a model without version moves.
type servedOnly struct{}

func (servedOnly) Version(_ ident.OrgID, _ ident.ModelName, _ uint64, served ident.Version) ident.Version {
	return served
}

func (servedOnly) Again(_ ident.ModelName, version ident.Version) ident.Version { return version }

// chooseVersion fixes the version of a request for all its attempts.
func (m *Model) chooseVersion(r *request) ident.Version {
	return m.versions.Version(r.Org, r.Model, r.PromptRoot, m.rules.ServedVersion(r.Model))
}

// onTrial reports whether a request runs on a weight version that a failed attempt would leave.
func (m *Model) onTrial(r *request) bool {
	return r.Model != "" && m.versions.Again(r.Model, r.version) != r.version
}

// chooseAgain may change the version of a request whose caller has no token yet.
func (m *Model) chooseAgain(r *request) {
	if r.delivered == 0 && r.Model != "" {
		r.version = m.versions.Again(r.Model, r.version)
	}
}

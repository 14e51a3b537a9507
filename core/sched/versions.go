package sched

import "cicadavalve/core/ident"

// Versioner chooses the weight version of each new request.
type Versioner interface {
	// Version returns the version for a new request. served is the version that the rules name, or empty.
	Version(org ident.OrgID, model ident.ModelName, promptRoot uint64, served ident.Version) ident.Version
	// RetryVersion returns the version for a retry after an attempt that delivered no token.
	RetryVersion(model ident.ModelName, version ident.Version) ident.Version
}

// WithVersions sets the versioner; the default always uses the version that the rules name.
func WithVersions(v Versioner) Option {
	return func(m *Model) { m.versions = v }
}

// servedOnly is the default [Versioner]; it keeps to the served version.
type servedOnly struct{}

func (servedOnly) Version(_ ident.OrgID, _ ident.ModelName, _ uint64, served ident.Version) ident.Version {
	return served
}

func (servedOnly) RetryVersion(_ ident.ModelName, version ident.Version) ident.Version {
	return version
}

// chooseVersion returns the version for a new request.
func (m *Model) chooseVersion(r *request) ident.Version {
	return m.versions.Version(r.Org, r.Model, r.PromptRoot, m.rules.ServedVersion(r.Model))
}

// onTrial reports whether a retry of a request would use another weight version.
func (m *Model) onTrial(r *request) bool {
	return r.Model != "" && m.versions.RetryVersion(r.Model, r.version) != r.version
}

// chooseRetryVersion updates a request's version for a retry, unless tokens were already delivered.
func (m *Model) chooseRetryVersion(r *request) {
	if r.delivered == 0 && r.Model != "" {
		r.version = m.versions.RetryVersion(r.Model, r.version)
	}
}

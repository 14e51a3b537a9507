package conf

import (
	"crypto/sha256"
	"encoding/hex"
	"net/url"
	"slices"
	"strings"

	"cicadavalve/core/ident"
)

const (
	// ownPrefix marks the scope of an isolated organisation, sharedPrefix a shared scope beside isolated organisations. Neither is part of an
	// escaped name.
	ownPrefix    = "="
	sharedPrefix = "*"
	// scopeHashBytes is the number of bytes of the hash in a shared scope.
	scopeHashBytes = 12
)

// CacheScope returns the scope in which an organisation's cached context is shared: one of its own if the organisation is isolated or
// unknown, else that of all others. The shared scope depends on the set of isolated organisations, so that nobody finds what an
// organisation made in it before it was isolated. Requests without an organisation have the empty name and are never isolated.
func (s *Set) CacheScope(name ident.OrgID) (scope string) {
	if org, known := s.byName[name]; name != "" && (!known || org.Isolated) {
		return ownPrefix + url.PathEscape(string(name))
	}
	return s.sharedScope
}

// SharedScope returns the cache scope of the organisations that are not isolated. Two configurations with the same one have the same scopes.
func (s *Set) SharedScope() string { return s.sharedScope }

// InScope reports whether some organisation may share its cached context in a scope. It is true for scopes of another form, as an earlier
// build has.
func (s *Set) InScope(scope string) bool {
	if scope == s.sharedScope {
		return true
	}
	escaped, own := strings.CutPrefix(scope, ownPrefix)
	if !own {
		return scope != "" && !strings.HasPrefix(scope, sharedPrefix)
	}
	name, err := url.PathUnescape(escaped)
	org, known := s.byName[ident.OrgID(name)]
	return err == nil && known && org.Isolated
}

// sharedScope returns the scope of the organisations that are not isolated, empty if none is.
func sharedScope(orgs []Organisation) (scope string) {
	var isolated []string
	for i := range orgs {
		if orgs[i].Isolated {
			isolated = append(isolated, url.PathEscape(string(orgs[i].Name)))
		}
	}
	if len(isolated) == 0 {
		return ""
	}
	slices.Sort(isolated)
	sum := sha256.Sum256([]byte(strings.Join(isolated, "/")))
	return sharedPrefix + hex.EncodeToString(sum[:scopeHashBytes])
}

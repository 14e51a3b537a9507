package place

import (
	"net/url"
	"strconv"
	"strings"

	"cicadavalve/core/ident"
)

// Salt identifies the cached context that requests of one cache scope may share on one version of a model's weights;
// see [conf.Set.CacheScope].
func Salt(cacheScope string, model ident.ModelName, version int64) string {
	return cacheScope + "/" + url.PathEscape(string(model)) + "/" + strconv.FormatInt(version, 10)
}

// ParseSalt returns the model and the version of a salt. ok is false if it is malformed.
func ParseSalt(salt string) (model ident.ModelName, version int64, ok bool) {
	fields := strings.Split(salt, "/")
	if len(fields) < 3 {
		return "", 0, false
	}
	version, err := strconv.ParseInt(fields[len(fields)-1], 10, 64)
	if err != nil {
		return "", 0, false
	}
	name, err := url.PathUnescape(fields[len(fields)-2])
	return ident.ModelName(name), version, err == nil
}

// SaltScope returns the cache scope of a salt that [ParseSalt] accepts.
func SaltScope(salt string) (cacheScope string) {
	fields := strings.Split(salt, "/")
	return strings.Join(fields[:max(len(fields)-2, 0)], "/")
}

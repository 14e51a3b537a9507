package place

import (
	"strconv"
	"strings"

	"cicadavalve/core/ident"
)

// Salt identifies the cached context that requests with the same wall may share on one version of a model's weights.
func Salt(wall string, model ident.ModelName, version int64) string {
	return wall + "/" + string(model) + "/" + strconv.FormatInt(version, 10)
}

// ParseSalt returns the model and the version of a salt. ok is false if it is malformed.
func ParseSalt(salt string) (model ident.ModelName, version int64, ok bool) {
	fields := strings.Split(salt, "/")
	if len(fields) < 3 {
		return "", 0, false
	}
	version, err := strconv.ParseInt(fields[len(fields)-1], 10, 64)
	return ident.ModelName(fields[len(fields)-2]), version, err == nil
}

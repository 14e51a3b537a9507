package place

import (
	"strconv"
	"strings"

	"cicadavalve/core/ident"
)

// Salt names the kept context that requests of one wall may share on one version of weights.
func Salt(wall string, model ident.ModelName, version int64) string {
	return wall + "/" + string(model) + "/" + strconv.FormatInt(version, 10)
}

// ParseSalt reads the model and the version of a salt.
func ParseSalt(salt string) (model ident.ModelName, version int64, ok bool) {
	fields := strings.Split(salt, "/")
	if len(fields) < 3 {
		return "", 0, false
	}
	version, err := strconv.ParseInt(fields[len(fields)-1], 10, 64)
	return ident.ModelName(fields[len(fields)-2]), version, err == nil
}

package abtest

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
)

// LoadResults reads results from JSON files and merges their outcomes. Results of different plans are an error.
func LoadResults(paths []string) (all Result, err error) {
	defer func() { err = errors.Wrap(err, "results") }()
	for i, path := range paths {
		one, err := loadResult(path)
		if err != nil {
			return all, err
		}
		if i == 0 {
			all = one
			continue
		}
		if !all.samePlan(one) {
			return all, errors.Newf("%s has a different plan from %s", path, paths[0])
		}
		all.Outcomes = append(all.Outcomes, one.Outcomes...)
	}
	return all, nil
}

func loadResult(path string) (r Result, err error) {
	defer func() { err = errors.Wrap(err, path) }()
	raw, err := os.ReadFile(path)
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(raw, &r)
}

func (r Result) samePlan(o Result) bool {
	return r.Preset == o.Preset && r.Scenario == o.Scenario && r.Seed == o.Seed && r.Rate == o.Rate &&
		r.LengthMs == o.LengthMs && r.InProcess == o.InProcess && r.Entries == o.Entries && r.Engines == o.Engines
}

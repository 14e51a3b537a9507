package place

import (
	"time"

	"cicadavalve/core/ident"
	"cicadavalve/core/times"
)

// namedVersion is a version of a model's weights.
type namedVersion struct {
	version int64
	// until is until when requests may be sent to upstreams with older ones.
	until time.Time
	// end is when runs must no longer begin on older ones. It is after until.
	end time.Time
}

// defaultVersionGrace applies without [WithVersionGrace].
const defaultVersionGrace = 10 * time.Second

// setTarget sets the target version of a model's weights; a version that is not newer than the last one is ignored.
func (m *Model) setTarget(msg TargetMsg) {
	versions := m.versions[msg.Model]
	if n := len(versions); n > 0 && msg.Version <= versions[n-1].version {
		return
	}
	until, end := msg.Ready.Add(startupGrace), msg.Ready.Add(disturbedTime)
	if bound := msg.Since.Add(m.versionGrace - versionMargin); !msg.Since.IsZero() && bound.After(until) {
		until, end = bound, msg.Since.Add(m.versionGrace)
	}
	if len(versions) > maxVersions {
		// What is older than a version that is dropped must not get more time by that.
		oldest := &versions[len(versions)-maxVersions]
		oldest.until, oldest.end = times.Earlier(oldest.until, versions[0].until), times.Earlier(oldest.end, versions[0].end)
	}
	m.versions[msg.Model] = append(versions[max(0, len(versions)-maxVersions):], namedVersion{msg.Version, until, end})
}

// maxVersions is how many older versions of a model are kept when a newer one is added.
const maxVersions = 16

// outdated reports whether a newer version than the given one is the target, and until when requests may be sent to upstreams
// with the given one.
func (m *Model) outdated(model ident.ModelName, version int64) (until time.Time, outdated bool) {
	newer, outdated := m.newer(model, version)
	return newer.until, outdated
}

// newer returns the first target version after the given one; ok is false if there is none.
func (m *Model) newer(model ident.ModelName, version int64) (newer namedVersion, ok bool) {
	for _, n := range m.versions[model] {
		if n.version > version {
			return n, true
		}
	}
	return namedVersion{}, false
}

const (
	// startupGrace is how long after its start, or after the store last failed it, an entry may send requests to older weights when it
	// can't tell how long they have been outdated.
	startupGrace = 2500 * time.Millisecond
	// disturbedTime is how long after such a disturbance the platform does not measure a VM.
	disturbedTime = 3 * time.Second
)

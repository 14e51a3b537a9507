package gossip

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Entries of other builds may say what this one doesn't know, or in another form. Fields and elements of lists that can't be read are
// left out, the rest of the message counts.

// The keys of fields on which others depend.
const (
	keyID = iota + 1
	keyAddress
	keyZone
	keyState
	keyBoot
	keyOrdered     = 8
	keyLoads       = 10
	keyReports     = 11
	keyLinks       = 14
	keyMarks       = 16
	keyEra         = 20
	keyReportAges  = 22
	keyReportNexts = 28
	keyShares      = 34
)

// maxMoreElements is how many elements an array may have beyond those that are known.
const maxMoreElements = 8

// Decode decodes a datagram. The fault names what was left out of it; m must not be used if err is set.
func Decode(b []byte) (m Message, fault, err error) {
	defer func() { err = errors.Wrap(err, "datagram") }()
	if cbor.Unmarshal(b, &m) == nil {
		m.complete()
		return m, nil, nil
	}
	var fields map[any]cbor.RawMessage
	if err := cbor.Unmarshal(b, &fields); err != nil {
		return Message{}, nil, err
	}
	d := fieldDecoder{lost: map[uint64]error{}}
	for key, raw := range fields {
		if key, known := key.(uint64); known {
			d.decode(key, raw)
		}
	}
	for _, key := range []uint64{keyID, keyAddress, keyZone, keyState, keyBoot} {
		if d.lost[key] != nil {
			return Message{}, nil, d.lost[key]
		}
	}
	d.leaveOut()
	for key, lost := range d.lost {
		fault = errors.CombineErrors(fault, errors.Wrapf(lost, "datagram of %s: field %d", d.message.ID, key))
	}
	d.message.complete()
	return d.message, fault, nil
}

// fieldDecoder decodes the fields of a message one by one.
type fieldDecoder struct {
	message Message
	// lost holds the fields that could not be read, wholly or in part.
	lost map[uint64]error
}

// decode decodes one field, or those elements of it that can be read.
func (d *fieldDecoder) decode(key uint64, raw cbor.RawMessage) {
	err := canDecode(key, raw)
	if err == nil {
		d.set(key, raw)
		return
	}
	var elements, readable []cbor.RawMessage
	if cbor.Unmarshal(raw, &elements) != nil {
		d.lost[key] = err
		return
	}
	for _, element := range elements {
		known, err := trim(key, element)
		if err != nil {
			d.lost[key] = err
			continue
		}
		readable = append(readable, known)
	}
	if len(readable) == 0 {
		d.lost[key] = err
		return
	}
	if raw, err = cbor.Marshal(readable); err != nil {
		d.lost[key] = err
		return
	}
	d.set(key, raw)
}

// set sets a field of the message.
func (d *fieldDecoder) set(key uint64, raw cbor.RawMessage) {
	if err := decodeField(&d.message, key, raw); err != nil {
		d.lost[key] = err
	}
}

// canDecode returns why a field can't be read, nil if it can.
func canDecode(key uint64, raw cbor.RawMessage) (err error) {
	var scratch Message
	return decodeField(&scratch, key, raw)
}

func decodeField(m *Message, key uint64, raw cbor.RawMessage) (err error) {
	field, err := cbor.Marshal(map[uint64]cbor.RawMessage{key: raw})
	if err != nil {
		return err
	}
	return cbor.Unmarshal(field, m)
}

// trim returns an element of a list without what it has beyond the known elements of its array.
func trim(key uint64, element cbor.RawMessage) (known cbor.RawMessage, err error) {
	fits := func(element cbor.RawMessage) error {
		list, err := cbor.Marshal([]cbor.RawMessage{element})
		if err != nil {
			return err
		}
		return canDecode(key, list)
	}
	if err = fits(element); err == nil {
		return element, nil
	}
	var items []cbor.RawMessage
	if cbor.Unmarshal(element, &items) != nil {
		return nil, err
	}
	for n := len(items) - 1; n > 0 && n >= len(items)-maxMoreElements; n-- {
		shorter, marshalErr := cbor.Marshal(items[:n])
		if marshalErr != nil {
			return nil, marshalErr
		}
		if fits(shorter) == nil {
			return shorter, nil
		}
	}
	return nil, err
}

// leaveOut drops what means something else without the fields that were lost.
func (d *fieldDecoder) leaveOut() {
	if d.hasLost(keyReports, keyReportAges, keyReportNexts) {
		// They belong together by their order.
		d.message.Reports, d.message.ReportAges, d.message.ReportNexts = nil, nil, nil
	}
	if d.hasLost(keyMarks, keyShares) {
		d.message.Shares = nil
	}
	if d.hasLost(keyEra) {
		d.message.Marks = nil
	}
	if d.hasLost(keyOrdered, keyLoads, keyLinks) {
		// A heartbeat replaces what was reported before.
		d.message.Heartbeat = false
	}
}

func (d *fieldDecoder) hasLost(keys ...uint64) (lost bool) {
	for _, key := range keys {
		lost = lost || d.lost[key] != nil
	}
	return lost
}

// Package record keeps a journal of every message that the deciders took and of
// every command that they gave, so that a run can be explained and run again.
package record

import (
	"encoding/json"
	"reflect"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/ident"
)

// ErrUnknownType says that a journal holds a type that the registry does not.
var ErrUnknownType = errors.New("type is not registered")

// Envelope is a message or command with the name of its type.
type Envelope struct {
	Type string          `json:"type"`
	Body json.RawMessage `json:"body"`
}

// Type is a message or command type that a journal may hold.
type Type struct {
	name   string
	decode func(raw json.RawMessage) (any, error)
}

// TypeOf is the journal's name and decoder of T.
//
//	registry := record.NewRegistry(record.TypeOf[sched.ArriveMsg](), record.TypeOf[sched.SendCmd]())
func TypeOf[T any]() Type {
	return Type{name: reflect.TypeFor[T]().String(), decode: decodeAs[T]}
}

func decodeAs[T any](raw json.RawMessage) (any, error) {
	var v T
	err := json.Unmarshal(raw, &v)
	return v, err
}

// Registry knows the types that a journal may hold.
type Registry struct {
	types map[string]Type
}

// NewRegistry is a registry of types.
func NewRegistry(types ...Type) *Registry {
	r := &Registry{types: make(map[string]Type, len(types))}
	for _, t := range types {
		r.types[t.name] = t
	}
	return r
}

// Encode puts a value into its envelope.
func (r *Registry) Encode(v any) (e Envelope, err error) {
	defer func() { err = errors.Wrapf(err, "encode %T", v) }()
	e.Type = reflect.TypeOf(v).String()
	if _, known := r.types[e.Type]; !known {
		return e, ErrUnknownType
	}
	e.Body, err = json.Marshal(v)
	return e, err
}

// Decode takes a value out of its envelope.
func (r *Registry) Decode(e Envelope) (v any, err error) {
	defer func() { err = errors.Wrapf(err, "decode %s", e.Type) }()
	t, known := r.types[e.Type]
	if !known {
		return nil, ErrUnknownType
	}
	return t.decode(e.Body)
}

// encodeAll encodes commands in order.
func (r *Registry) encodeAll(cmds []ident.Cmd) (envelopes []Envelope, err error) {
	for _, cmd := range cmds {
		e, err := r.Encode(cmd)
		if err != nil {
			return nil, err
		}
		envelopes = append(envelopes, e)
	}
	return envelopes, nil
}

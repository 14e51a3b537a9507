// Package record keeps a journal of every message that the state machines process and of every command that they
// return, so that a run can be explained and replayed.
package record

import (
	"encoding/json"
	"reflect"

	"github.com/cockroachdb/errors"

	"cicadavalve/core/ident"
)

// ErrUnknownType means that a type is not in the registry.
var ErrUnknownType = errors.New("type is not registered")

// Envelope is a message or command with the name of its type.
type Envelope struct {
	Type string          `json:"type"`
	Body json.RawMessage `json:"body"`
}

// Type is a message or command type that a journal may contain.
type Type struct {
	name   string
	decode func(raw json.RawMessage) (any, error)
}

// TypeOf returns the type T with its name in a journal and its decoder.
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

// Registry holds the types that a journal may contain.
type Registry struct {
	types map[string]Type
}

// NewRegistry returns a registry of the given types.
func NewRegistry(types ...Type) *Registry {
	r := &Registry{types: make(map[string]Type, len(types))}
	for _, t := range types {
		r.types[t.name] = t
	}
	return r
}

// Encode returns a value in its envelope, or [ErrUnknownType] if its type is not registered.
func (r *Registry) Encode(v any) (e Envelope, err error) {
	defer func() { err = errors.Wrapf(err, "encode %T", v) }()
	e.Type = reflect.TypeOf(v).String()
	if _, known := r.types[e.Type]; !known {
		return e, ErrUnknownType
	}
	e.Body, err = json.Marshal(v)
	return e, err
}

// Decode returns the value of an envelope, or [ErrUnknownType] if its type is not registered.
func (r *Registry) Decode(e Envelope) (v any, err error) {
	defer func() { err = errors.Wrapf(err, "decode %s", e.Type) }()
	t, known := r.types[e.Type]
	if !known {
		return nil, ErrUnknownType
	}
	return t.decode(e.Body)
}

// encodeAll returns the envelopes of commands in their order.
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

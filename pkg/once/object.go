// Package once decides whether a non-idempotent request may run. Each key slot of a service has one owner, which
// records the keys above the slot's floor that it has admitted.
package once

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

// Slots is the number of key slots of a service.
const Slots = 64

// Slot is one key slot. An empty Owner means that any agent of the service may claim it.
type Slot struct {
	Owner string `json:"owner,omitempty"` // VM id
	Epoch uint64 `json:"epoch"`           // increases with each change of the owner
	// FloorMS is the issue time, in Unix milliseconds, at or below which a request with the key may have run under an
	// earlier owner.
	FloorMS int64 `json:"floorMs"`
}

// Owners is the value stored under owners/<service>.
type Owners struct {
	Slots [Slots]Slot `json:"slots"`
}

// Key returns the key of the owners object of a service.
func Key(service string) string { return store.PrefixOwners + service }

// SlotOf returns the slot of an idempotency key. The caller's name is part of the key's identity, so that equal keys of
// two callers cannot collide.
func SlotOf(caller, key string) uint32 {
	return uint32(xxhash.Sum64String(caller+"\x00"+key) % Slots)
}

// Decode parses an object's value.
func Decode(value []byte) (Owners, error) {
	var o Owners
	err := json.Unmarshal(value, &o)
	return o, fault.Wrap(err, fault.StepClaim, "", "decode owners")
}

// Encode returns the object's value.
func (o Owners) Encode() []byte {
	b, err := json.Marshal(o)
	if err != nil {
		panic(err) // unreachable: all fields can be encoded
	}
	return b
}

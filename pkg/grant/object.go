// Package grant decides which VMs may load replicas of a model. Grants do not expire, so that a paused agent never
// loses its grant while one of its orders is in flight.
package grant

import (
	"encoding/json"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

// Grant is the right of one VM to load one replica. It lasts until it is released or removed.
type Grant struct {
	VM string `json:"vm"`
	// Incarnation identifies the agent process that stamped the grant. An agent loads only under a grant that carries
	// its own incarnation.
	Incarnation string `json:"incarnation"`
	// Generation increases with each grant issued or stamped for the model.
	Generation uint64 `json:"generation"`
}

// Object is the value stored under grants/<model>.
type Object struct {
	Ceiling int `json:"ceiling"`
	// Stamp identifies the configuration that set the ceiling.
	Stamp config.Stamp `json:"stamp"`
	// Generation is the highest generation issued so far.
	Generation uint64  `json:"generation"`
	Grants     []Grant `json:"grants"`
}

// Key returns the key of the grants object of a model.
func Key(model string) string { return store.PrefixGrants + model }

// Decode parses an object's value.
func Decode(value []byte) (Object, error) {
	var o Object
	err := json.Unmarshal(value, &o)
	return o, fault.Wrap(err, fault.StepGrant, "", "decode grants")
}

// Encode returns the object's value.
func (o Object) Encode() []byte {
	b, err := json.Marshal(o)
	if err != nil {
		panic(err) // unreachable: all fields can be encoded
	}
	return b
}

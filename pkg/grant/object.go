// Package grant decides who may load replicas of a model. Grants have no expiry: a paused holder can never lose one
// while an order of it is on the way.
package grant

import (
	"encoding/json"

	"github.com/hibiscuscross/hibiscuscross/pkg/config"
	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/pkg/store"
)

// Grant is the standing right of one VM to hold one replica.
type Grant struct {
	VM string `json:"vm"`
	// Incarnation names the agent process that stamped the grant. An agent loads only under a grant with its own.
	Incarnation string `json:"incarnation"`
	// Generation grows with each grant given for the model.
	Generation uint64 `json:"generation"`
}

// Object is the value stored under grants/<model>.
type Object struct {
	Ceiling int `json:"ceiling"`
	// Stamp names the configuration that set the ceiling.
	Stamp config.Stamp `json:"stamp"`
	// Generation is the highest generation given so far.
	Generation uint64  `json:"generation"`
	Grants     []Grant `json:"grants"`
}

// Key returns the object's key for a model.
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
		panic(err) // the type has only fields that encode
	}
	return b
}

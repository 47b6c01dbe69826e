// Package config defines the configuration document that operators submit: its types, strict decoding, validation,
// digest and difference. A document contains only declared values; the program, not the document, defines defaults.
package config

// APIVersion is the only accepted value of Config.APIVersion.
const APIVersion = "hibiscuscross/v1"

// Config is the configuration document of one deployment.
type Config struct {
	APIVersion string    `json:"apiVersion"`
	Deployment string    `json:"deployment"`
	Weights    Weights   `json:"weights"`
	Limits     Limits    `json:"limits"`
	Groups     []Group   `json:"groups"`
	Models     []Model   `json:"models,omitempty"`
	Adapters   []Adapter `json:"adapters,omitempty"`
	Services   []Service `json:"services"`
	Callers    []Caller  `json:"callers"`
}

// Weights are the costs by which cold starts are weighed against idle accelerators. Both are at least 0 and at least one
// is positive.
type Weights struct {
	// ColdStart is the cost of one second that a request waits for a cold start.
	ColdStart float64 `json:"coldStart"`
	// IdleAccelerator is the cost of one accelerator that is idle for one hour.
	IdleAccelerator float64 `json:"idleAccelerator"`
}

// Limits are the limits on which the operators agreed for the whole deployment.
type Limits struct {
	// MaxWaitMS is the longest time that any caller may wait for the start of its answer, ms.
	MaxWaitMS int64 `json:"maxWaitMs"`
	// UpstreamMemoryBytes bounds the memory used on one upstream, bytes.
	UpstreamMemoryBytes int64 `json:"upstreamMemoryBytes"`
}

// GroupKind is the kind of the upstreams of a group.
type GroupKind string

// Kinds of groups.
const (
	GroupModels GroupKind = "models"
	GroupPlain  GroupKind = "plain"
)

// Group is a named set of upstreams. An agent's settings name the one group that it belongs to.
type Group struct {
	Name string    `json:"name"`
	Kind GroupKind `json:"kind"`
}

// Model is a model that upstreams of a group may load.
type Model struct {
	Name  string `json:"name"`
	Group string `json:"group"`
	// MaxReplicas is the agreed ceiling of the number of replicas. Zero means that the model is not served.
	MaxReplicas int `json:"maxReplicas"`
	// MemoryBytes is the memory that the weights need on an upstream, bytes.
	MemoryBytes int64 `json:"memoryBytes"`
	// KVReserveBytes is the memory reserved for the KV cache of the model's requests, bytes.
	KVReserveBytes int64 `json:"kvReserveBytes"`
	// Accelerators is the number of accelerators that a replica occupies.
	Accelerators int `json:"accelerators"`
}

// Adapter is an adapter on a base model.
type Adapter struct {
	Name        string `json:"name"`
	Model       string `json:"model"`
	MemoryBytes int64  `json:"memoryBytes"`
}

// Service is a set of models and adapters, or the upstreams of a plain service, that callers address by one name.
type Service struct {
	Name  string `json:"name"`
	Group string `json:"group"`
	// Models and Adapters are the names that the service's callers may use. Both are empty for a plain service.
	Models   []string `json:"models,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	// Priority orders waiting requests; larger is more urgent. 0 to 9.
	Priority int `json:"priority"`
	// MaxWaitMS is the longest time that a caller of this service may wait for the start of its answer, ms. It is at
	// most Limits.MaxWaitMS.
	MaxWaitMS int64 `json:"maxWaitMs"`
	// Calls are the allowed calls of a plain service. A request that matches none is refused.
	Calls []Call `json:"calls,omitempty"`
}

// Call is an allowed method and path prefix of a plain service.
type Call struct {
	Method string `json:"method"`
	// PathPrefix matches the path below /services/{service}. The longest match applies.
	PathPrefix string `json:"pathPrefix"`
	// NonIdempotent marks a call that needs an Idempotency-Key and runs at most once per key.
	NonIdempotent bool `json:"nonIdempotent,omitempty"`
}

// Caller is a caller and the services that it may use.
type Caller struct {
	Name string `json:"name"`
	// KeySHA256 is the lower-case hexadecimal SHA-256 of the caller's key.
	KeySHA256 string   `json:"keySha256"`
	Services  []string `json:"services"`
}

// Document is a configuration with its version and digest.
type Document struct {
	// Version grows by one with each accepted configuration.
	Version uint64
	// Digest is the lower-case hexadecimal SHA-256 of Raw.
	Digest string
	Raw    []byte
	Config *Config
}

// Envelope is the content of the object config/current; Encode returns its stored form. Raw is base64 in JSON, which
// preserves the document byte for byte. Base is the version that the document was derived from.
type Envelope struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Base    uint64 `json:"base"`
	Raw     []byte `json:"raw"`
}

// Stamp identifies the configuration that set a ceiling.
type Stamp struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

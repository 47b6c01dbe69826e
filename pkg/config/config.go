// Package config defines the configuration document that operators submit: its types, strict decoding, validation,
// digest and difference. A document holds only what was declared; defaults belong to the program.
package config

// APIVersion is the only accepted value of Config.APIVersion.
const APIVersion = "hibiscuscross/v1"

// Config is the whole document of one deployment.
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

// Weights price the two things measured against each other. Both are at least 0 and at least one is positive.
type Weights struct {
	// ColdStart is the cost of one second that a request waits for a cold start.
	ColdStart float64 `json:"coldStart"`
	// IdleAccelerator is the cost of one accelerator held idle for one hour.
	IdleAccelerator float64 `json:"idleAccelerator"`
}

// Limits are the voted limits that hold for the whole deployment.
type Limits struct {
	// MaxWaitMS is the longest time that any caller may wait for its answer to begin, ms.
	MaxWaitMS int64 `json:"maxWaitMs"`
	// UpstreamMemoryBytes bounds the memory used on one upstream, bytes.
	UpstreamMemoryBytes int64 `json:"upstreamMemoryBytes"`
}

// GroupKind says what the upstreams of a group are.
type GroupKind string

// Kinds of groups.
const (
	GroupModels GroupKind = "models"
	GroupPlain  GroupKind = "plain"
)

// Group is a named set of upstreams. An agent belongs to one group by its settings.
type Group struct {
	Name string    `json:"name"`
	Kind GroupKind `json:"kind"`
}

// Model is a model that upstreams of a group may load.
type Model struct {
	Name  string `json:"name"`
	Group string `json:"group"`
	// MaxReplicas is the voted ceiling of loaded replicas. Zero means that the model is not served.
	MaxReplicas int `json:"maxReplicas"`
	// MemoryBytes is what the weights take on an upstream, bytes.
	MemoryBytes int64 `json:"memoryBytes"`
	// KVReserveBytes is kept for the KV cache of the model's requests, bytes.
	KVReserveBytes int64 `json:"kvReserveBytes"`
	// Accelerators is how many accelerators a loaded replica holds.
	Accelerators int `json:"accelerators"`
}

// Adapter is an adapter on a base model.
type Adapter struct {
	Name        string `json:"name"`
	Model       string `json:"model"`
	MemoryBytes int64  `json:"memoryBytes"`
}

// Service is what callers call: models and adapters, or a plain service's upstreams.
type Service struct {
	Name  string `json:"name"`
	Group string `json:"group"`
	// Models and Adapters name what the service's callers may call. Both are empty for a plain service.
	Models   []string `json:"models,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	// Priority orders waiting requests; larger is more urgent. 0 to 9.
	Priority int `json:"priority"`
	// MaxWaitMS is the longest time that a caller of this service may wait, ms. At most Limits.MaxWaitMS.
	MaxWaitMS int64 `json:"maxWaitMs"`
	// Calls lists the calls of a plain service. A call that matches none is refused.
	Calls []Call `json:"calls,omitempty"`
}

// Call is one kind of call of a plain service.
type Call struct {
	Method string `json:"method"`
	// PathPrefix matches the path below /services/{service}. The longest match decides.
	PathPrefix string `json:"pathPrefix"`
	// NonIdempotent calls need an Idempotency-Key and run at most once.
	NonIdempotent bool `json:"nonIdempotent,omitempty"`
}

// Caller is one caller with the SHA-256 of its key.
type Caller struct {
	Name string `json:"name"`
	// KeySHA256 is the lower-case hexadecimal SHA-256 of the caller's key.
	KeySHA256 string   `json:"keySha256"`
	Services  []string `json:"services"`
}

// Document is a configuration with its identity.
type Document struct {
	// Version grows by one with each accepted configuration.
	Version uint64
	// Digest is the lower-case hexadecimal SHA-256 of Raw.
	Digest string
	Raw    []byte
	Config *Config
}

// Envelope is the JSON value stored under config/current. Raw is base64 in JSON, so the document is kept byte for byte.
type Envelope struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Base    uint64 `json:"base"`
	Raw     []byte `json:"raw"`
}

// Stamp names the configuration that set a ceiling.
type Stamp struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

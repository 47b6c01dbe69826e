package upstreamlimit

// Instance is one process of an upstream. A restarted process, or another one at the address, has another start time and
// begins without a limit.
type Instance struct {
	// ID names the upstream, as in the list of upstreams.
	ID string `cbor:"1,keyasint"`
	// StartedUnixMS is the start of the process; 0 if it is not known.
	StartedUnixMS int64 `cbor:"2,keyasint,omitempty"`
}

// Kind is what an answer of the upstream said about its limit.
type Kind int

const (
	// Unseen: no answer has been seen, or what it said could not be read. It neither sets nor ends a limit.
	Unseen Kind = iota
	// Named: the answer named a limit.
	Named
	// Absent: the answer named none.
	Absent
)

// Fact is the latest that a router has learned from the upstream's own answers.
type Fact struct {
	Kind Kind    `cbor:"1,keyasint,omitempty"`
	N    float64 `cbor:"2,keyasint,omitempty"` // requests per second, if Named
	// SentMS is the time since the attempt was sent, and ReceivedMS since the head of its answer was received. The
	// upstream wrote the answer between the two.
	SentMS     int64 `cbor:"3,keyasint,omitempty"`
	ReceivedMS int64 `cbor:"4,keyasint,omitempty"`
}

// Request is the message from a router to the holder of an upstream. A router numbers its requests by upstream; a repeat
// has the number and the content of the first one, and is applied once.
type Request struct {
	Router string `cbor:"1,keyasint"`
	// Process identifies the router's process. Numbers start again with each process.
	Process  uint64   `cbor:"2,keyasint"`
	Instance Instance `cbor:"3,keyasint"`
	Seq      uint64   `cbor:"4,keyasint"`
	Fact     Fact     `cbor:"5,keyasint"`
	// Want is the number of requests that wait at the router, by priority; 0 is the most urgent.
	Want []int `cbor:"6,keyasint,omitempty"`
	// Spent is the number of requests sent without a token of a holder within the last window and not yet reported.
	Spent int `cbor:"7,keyasint,omitempty"`
	// Returned are tokens that were not used and will not be.
	Returned []Count `cbor:"8,keyasint,omitempty"`
	// Holder and EchoMS are the process and the stamp of the holder's latest message, and EchoAgeMS the time since its
	// arrival. They bound from below when this request was sent, in the holder's time.
	Holder    uint64 `cbor:"9,keyasint,omitempty"`
	EchoMS    int64  `cbor:"10,keyasint,omitempty"`
	EchoAgeMS int64  `cbor:"11,keyasint,omitempty"`
	// Heard is the limit that the router knows from a holder. It counts only for a holder that has seen no fact yet.
	Heard float64 `cbor:"12,keyasint,omitempty"`
	// Refused is the number of callers that were told to come back since the last request.
	Refused int `cbor:"13,keyasint,omitempty"`
}

// Count is a number of tokens that were granted for the request with the number Seq.
type Count struct {
	Seq   uint64 `cbor:"1,keyasint"`
	Count int    `cbor:"2,keyasint"`
}

// Grant is the holder's message to a router: the answer to a request, sent at once, and again whenever a token comes for
// it later.
type Grant struct {
	Process  uint64   `cbor:"1,keyasint"` // of the router
	Instance Instance `cbor:"2,keyasint"` // that the holder knows
	Holder   uint64   `cbor:"3,keyasint"` // process of the holder
	Seq      uint64   `cbor:"4,keyasint"`
	// N is the limit in force in requests per second; 0 if there is none.
	N float64 `cbor:"5,keyasint,omitempty"`
	// Tokens are all tokens granted so far for this request and for the latest earlier ones. They end Validity after the
	// router sent the request with their number.
	Tokens []Count `cbor:"6,keyasint,omitempty"`
	// RetryMS is the time until the next token for a further request of this router.
	RetryMS int64 `cbor:"7,keyasint,omitempty"`
	StampMS int64 `cbor:"8,keyasint,omitempty"`
	// WaitMS is the time until a further request that waits now gets a token. Unlike RetryMS it leaves out the callers that
	// were told to come back: one that has come back must not wait for itself.
	WaitMS int64 `cbor:"9,keyasint,omitempty"`
}

// Announcement names a limit in a holder's reports to all routers, so that those that have seen no answer know it.
type Announcement struct {
	Instance Instance `cbor:"1,keyasint"`
	N        float64  `cbor:"2,keyasint"`
}

// Outgoing is a message of a holder and the router to send it to.
type Outgoing struct {
	Router string
	Grant  *Grant
}

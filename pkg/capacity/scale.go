package capacity

// Design scale, from section 1.5 of the design page.
const (
	routers        = 390
	upstreams      = 830
	processes      = routers + upstreams
	models         = 150
	adapters       = 9500
	changesPerDay  = 900
	wakeFraction   = 0.17 // of models and adapters, each hour
	vmsReplaced    = 256  // a day, with those that fail
	requestsPerSec = 14000
	tokensPerSec   = 3.5e6
	regions        = 2
	zones          = 8

	routerRequests = 36   // a second
	routerTokens   = 9000 // a second
	tokenInterval  = 0.062
	firstToken     = 0.7

	day  = 86400.0
	hour = 3600.0
)

// Budgets.
const (
	budgetCPU         = 0.012             // cores, of control
	budgetMemory      = 128 << 20         // bytes
	budgetControl     = 4 << 10           // bytes a second
	budgetStoreWrites = 300               // a second; "several hundred"
	budgetStoreReads  = 2000              // a second
	budgetConfig      = 8.0               // s
	budgetFirst       = 0.02 * firstToken // s
	budgetToken       = 0.02 * 62         // ms
)

// Requests in flight at a router and an agent: rate times tokens of an answer times the time between tokens, plus the
// time to the first token.
const (
	routerTokensPerRequest = float64(routerTokens) / routerRequests
	requestSeconds         = routerTokensPerRequest*tokenInterval + firstToken
	routerInFlight         = routerRequests * requestSeconds
	agentRequests          = float64(requestsPerSec) / upstreams
	agentInFlight          = agentRequests * requestSeconds
	agentTokens            = tokensPerSec / upstreams
)

var (
	adapterSizes = []int{100, 1000, 10000}
	peerSizes    = []int{10, 100, 1000}
	flightSizes  = []int{10, 100, 1000}
)

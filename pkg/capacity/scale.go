package capacity

// Design scale, from section 1.5 of the design page.
const (
	routers        = 390
	upstreams      = 830
	processes      = routers + upstreams
	models         = 150
	adapters       = 9500
	changesPerDay  = 900
	wakeFraction   = 0.17 // of the models and adapters, loaded each hour
	vmsReplaced    = 256  // per day, including failed ones
	requestsPerSec = 14000
	tokensPerSec   = 3.5e6
	regions        = 2
	zones          = 8

	routerRequests = 36    // per second
	routerTokens   = 9000  // per second
	tokenInterval  = 0.062 // s
	firstToken     = 0.7   // s

	day  = 86400.0
	hour = 3600.0
)

// Budgets: of the control overhead of a node, of the store API, of configuration changes and of added latency.
const (
	budgetCPU           = 0.012             // cores
	budgetMemory        = 128 << 20         // bytes
	budgetControl       = 4 << 10           // bytes per second
	budgetStoreWrites   = 300               // per second; stated as "several hundred"
	budgetStoreReads    = 2000              // per second
	budgetConfigDelay   = 8.0               // s
	budgetFirstToken    = 0.02 * firstToken // s
	budgetBetweenTokens = 0.02 * 62         // ms
)

// Requests in flight at a router and an agent: the rate times the duration of an answer, which is the number of its
// tokens times the time between tokens, plus the time to the first token.
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

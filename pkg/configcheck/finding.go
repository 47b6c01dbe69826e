package configcheck

import "fmt"

// Severity is the weight of a finding.
type Severity string

// Severities. A version without an error is accepted by routers.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Code identifies the rule that a finding comes from. Codes are stable, since scripts depend on them.
type Code string

// Codes of findings.
const (
	UnknownField           Code = "unknown-field"
	FieldCase              Code = "field-case"
	DuplicateField         Code = "duplicate-field"
	WrongType              Code = "wrong-type"
	MissingField           Code = "missing-field"
	UnknownValue           Code = "unknown-value"
	UnusedField            Code = "unused-field"
	OutOfRange             Code = "out-of-range"
	UnlikelyTime           Code = "unlikely-time"
	InvalidName            Code = "invalid-name"
	DuplicateName          Code = "duplicate-name"
	InvalidHost            Code = "invalid-host"
	PrefixStart            Code = "prefix-start"
	PrefixEnd              Code = "prefix-end"
	HiddenRoute            Code = "hidden-route"
	RouteWithoutService    Code = "route-without-service"
	UnknownService         Code = "unknown-service"
	NoWeight               Code = "no-weight"
	TargetBeyondTimeout    Code = "target-beyond-timeout"
	GapBeyondTimeout       Code = "gap-beyond-timeout"
	ServiceWithoutRoute    Code = "service-without-route"
	EngineWithoutModels    Code = "engine-without-models"
	ModelWithoutSize       Code = "model-without-size"
	MemoryBelowModels      Code = "memory-below-models"
	ModelExceedsMemory     Code = "model-exceeds-memory"
	AdaptersWithoutSize    Code = "adapters-without-size"
	AdaptersWithoutSlots   Code = "adapters-without-slots"
	InvalidTenantName      Code = "invalid-tenant-name"
	DuplicateTenant        Code = "duplicate-tenant"
	InvalidQuota           Code = "invalid-quota"
	QuotaBurstBelowRequest Code = "quota-burst-below-request"
	QuotaWithoutBurst      Code = "quota-without-burst"
	QuotaWithoutRate       Code = "quota-without-rate"
	InvalidKey             Code = "invalid-key"
	KeyOfTwoTenants        Code = "key-of-two-tenants"
	RepeatedKey            Code = "repeated-key"
	TenantWithoutKeys      Code = "tenant-without-keys"
	ZeroLimit              Code = "zero-limit"
	VersionNotGrown        Code = "version-not-grown"
)

type rule struct {
	severity Severity
	// refused marks what routers refuse. It is limited to what they cannot interpret or what would give a key to the wrong
	// tenant: a router that refuses a version also keeps the keys that this version withdraws.
	refused bool
}

var (
	refused = rule{SeverityError, true}
	failure = rule{SeverityError, false}
	warning = rule{SeverityWarning, false}
)

var rules = map[Code]rule{
	UnknownField: warning, FieldCase: warning, DuplicateField: failure, WrongType: refused, MissingField: refused, UnknownValue: refused,
	UnusedField: warning, OutOfRange: failure, UnlikelyTime: warning, InvalidName: failure, DuplicateName: failure,
	InvalidHost: failure, PrefixStart: failure, PrefixEnd: warning, HiddenRoute: failure, RouteWithoutService: failure,
	UnknownService: failure, NoWeight: failure, TargetBeyondTimeout: failure, GapBeyondTimeout: warning,
	ServiceWithoutRoute: warning, EngineWithoutModels: failure, ModelWithoutSize: warning, MemoryBelowModels: failure,
	ModelExceedsMemory: failure, AdaptersWithoutSize: failure, AdaptersWithoutSlots: failure,
	InvalidTenantName: refused, DuplicateTenant: refused, InvalidQuota: refused, QuotaBurstBelowRequest: failure,
	QuotaWithoutBurst: warning, QuotaWithoutRate: warning, InvalidKey: refused, KeyOfTwoTenants: refused,
	RepeatedKey: warning, TenantWithoutKeys: warning, ZeroLimit: failure, VersionNotGrown: failure,
}

// Codes returns the severity of each code without --strict, and whether routers refuse a version with it.
func Codes() (severities map[Code]Severity, refusals map[Code]bool) {
	severities, refusals = map[Code]Severity{}, map[Code]bool{}
	for code, r := range rules {
		severities[code], refusals[code] = r.severity, r.refused
	}
	return severities, refusals
}

// Finding is one result of a check.
type Finding struct {
	Severity Severity
	Code     Code
	// Refused reports whether routers refuse the version.
	Refused bool
	Place   Place
	// Path and Line are those of the Problem that the finding comes from.
	Path string
	Line int
	// Entry names the entry, for example `route "chat" (number 2)`. It is empty outside the lists.
	Entry string
	// Detail describes the finding with the values, but never a key.
	Detail string
}

type findings struct {
	list   []Finding
	strict bool
}

func (f *findings) add(code Code, place Place, entry, format string, args ...any) {
	f.list = append(f.list, Finding{
		Severity: f.severity(code), Code: code, Refused: rules[code].refused, Place: place, Entry: entry, Detail: fmt.Sprintf(format, args...),
	})
}

func (f *findings) addProblem(p Problem, entry string) {
	f.list = append(f.list, Finding{
		Severity: f.severity(p.Code), Code: p.Code, Refused: rules[p.Code].refused, Place: p.Place, Path: p.Path, Line: p.Line, Entry: entry, Detail: p.Detail,
	})
}

func (f *findings) severity(code Code) Severity {
	if f.strict && (code == UnknownField || code == FieldCase) {
		return SeverityError
	}
	return rules[code].severity
}

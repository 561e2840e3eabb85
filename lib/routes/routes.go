// Package routes decides which service answers a caller's request and which
// organisation it belongs to.
//
// A Table is built once from one version of the operator's configuration and
// never changes. A request keeps the table that was in force when it arrived, so
// that all decisions about it follow one version.
package routes

import (
	"cmp"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"firford/lib/regions"
	"firford/lib/warmups"
)

// The retry modes of a route.
const (
	// AtMostOnce requests run at most once for each attempt of the caller.
	AtMostOnce RetryMode = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of events. They run once, unless
	// the route lets another server continue after the last event.
	Stream
)

// DefaultPriority marks an organisation without a priority of its own.
const DefaultPriority = -1

// Errors of Match. Both are the caller's fault.
var (
	ErrNoRoute    = errors.New("no route for this host and path")
	ErrUnknownKey = errors.New("unknown key")
)

type (
	// RetryMode states whether a request whose outcome is unknown may be sent again.
	RetryMode int

	// Route sends the requests for a host and a path prefix to services. The operator
	// sets its times: Timeout and FirstEventTarget count from the arrival of a request,
	// and EventGap is the longest pause between two events that is still on time. Regions
	// are its home regions.
	Route struct {
		Name             string
		Host             string
		Prefix           string
		RetryMode        RetryMode
		Resumable        bool
		Public           bool
		Priority         int
		MaxAttempts      int
		Timeout          time.Duration
		FirstEventTarget time.Duration
		EventGap         time.Duration
		Regions          regions.Set
		Shares           []Share
	}

	// Share is the fraction of a route's requests that a service gets. Weights are
	// relative to the sum of the route's weights.
	Share struct {
		Service string
		Weight  float64
	}

	// Service is a group of backend servers that answer the same requests. Engine
	// is nil for a plain service. Origin is empty unless the service is an origin of
	// weights. Warmup bounds the requests of cold servers, which only entries count.
	Service struct {
		Name           string  `json:"name"`
		HealthPath     string  `json:"health_path,omitempty"`
		MaxConnections int     `json:"max_connections,omitempty"`
		Engine         *Engine `json:"engine,omitempty"`
		Origin         string  `json:"origin,omitempty"`
		OriginZone     string  `json:"origin_zone,omitempty"`
		OriginMbps     float64 `json:"origin_mbps,omitempty"`

		Warmup warmups.Rule `json:"-"`
	}

	// Engine holds the published parameters of a model engine. Durations are in
	// nanoseconds where they are passed between processes.
	Engine struct {
		Slots           int           `json:"slots"`
		Stride          int           `json:"stride"`
		Pieces          int           `json:"chunks"`
		PieceBytes      int64         `json:"chunk_bytes"`
		Step            time.Duration `json:"step"`
		StepPerRequest  time.Duration `json:"step_per_request"`
		StepPer1kTokens time.Duration `json:"step_per_1k_tokens"`
		PrefillPerS     float64       `json:"prefill_per_s"`
		UsualAnswer     float64       `json:"usual_answer"`
		Models          []string      `json:"models"`
	}

	// Organisation is a group of callers that share keys. Regions are its home regions.
	Organisation struct {
		Name     string
		Priority int
		Regions  regions.Set
	}

	// Rank is the priority of a request among those of all organisations and routes. Zero
	// is the most urgent. The priority of the organisation is compared first.
	Rank struct {
		Organisation int
		Route        int
	}

	// Limits bound what a caller may send.
	Limits struct {
		HeaderBytes int
		BodyBytes   int64
	}

	// Configuration is one accepted version of the operator's configuration. RequiresKey is
	// set if callers belong to organisations, also if none of these has a key: the requests
	// on all routes that are not public then need one. Keys require one by themselves.
	Configuration struct {
		Version     int64
		Routes      []Route
		Services    []Service
		RequiresKey bool
		Keys        map[string]Organisation
		Limits      Limits
	}

	// Table maps requests to routes and organisations. It is immutable and safe for
	// concurrent use; the zero value has no routes.
	Table struct {
		version     int64
		hosts       map[string][]Route
		services    map[string]Service
		requiresKey bool
		keys        map[string]Organisation
		limits      Limits
		// engineDigest covers the engines and origins.
		engineDigest uint64
	}

	// Match is the route of a request and the organisation that it belongs to,
	// which is empty on public routes.
	Match struct {
		Route        Route
		Organisation Organisation
	}
)

// New builds the table of a configuration.
func New(configuration Configuration) Table {
	table := Table{
		version:     configuration.Version,
		hosts:       map[string][]Route{},
		services:    map[string]Service{},
		requiresKey: configuration.RequiresKey || len(configuration.Keys) > 0,
		keys:        configuration.Keys,
		limits:      configuration.Limits,
	}
	for _, route := range configuration.Routes {
		host := strings.ToLower(route.Host)
		table.hosts[host] = append(table.hosts[host], route)
	}
	for _, list := range table.hosts {
		slices.SortStableFunc(list, func(left, right Route) int {
			return cmp.Compare(len(right.Prefix), len(left.Prefix))
		})
	}
	for _, service := range configuration.Services {
		table.services[service.Name] = service
	}
	table.engineDigest = digest(table.EnginesAndOrigins())
	return table
}

// Version returns the version of the configuration, zero if there is none.
func (table Table) Version() int64 { return table.version }

// Limits returns the limits on what a caller may send.
func (table Table) Limits() Limits { return table.limits }

// Service returns a service by its name.
func (table Table) Service(name string) (Service, bool) {
	service, known := table.services[name]
	return service, known
}

// ServiceNames returns the names of all services that requests are routed to, which
// leaves out the origins.
func (table Table) ServiceNames() []string {
	var names []string
	for _, service := range table.selectServices(func(service Service) bool { return service.Origin == "" }) {
		names = append(names, service.Name)
	}
	return names
}

// Engines returns the services that are model engines.
func (table Table) Engines() []Service {
	return table.selectServices(func(service Service) bool { return service.Engine != nil })
}

// Warmups returns, by service, the rules that limit cold servers.
func (table Table) Warmups() map[string]warmups.Rule {
	rules := map[string]warmups.Rule{}
	for name, service := range table.services {
		if service.Warmup.IsLimited() {
			rules[name] = service.Warmup
		}
	}
	return rules
}

// EnginesAndOrigins returns the services that are model engines or origins.
func (table Table) EnginesAndOrigins() []Service {
	return table.selectServices(func(service Service) bool { return service.Engine != nil || service.Origin != "" })
}

// EngineDigest returns a digest of everything that the table says of engines and
// origins. Tables with equal digests differ at most in routes, keys and plain
// services.
func (table Table) EngineDigest() uint64 { return table.engineDigest }

func digest(services []Service) uint64 {
	encoded, err := json.Marshal(services)
	if err != nil {
		panic("service of a decoded configuration not encoded: " + err.Error())
	}
	return xxhash.Sum64(encoded)
}

// Origins returns the services that serve weights.
func (table Table) Origins() []Service {
	return table.selectServices(func(service Service) bool { return service.Origin != "" })
}

func (table Table) selectServices(match func(Service) bool) []Service {
	var list []Service
	for _, service := range table.services {
		if match(service) {
			list = append(list, service)
		}
	}
	slices.SortFunc(list, func(left, right Service) int { return strings.Compare(left.Name, right.Name) })
	return list
}

// Match finds the route of a request by its host and the longest prefix of its
// path, and the organisation by its key. An empty key stands for none. It returns
// ErrNoRoute or ErrUnknownKey if there is none.
func (table Table) Match(host, path, key string) (Match, error) {
	route, found := table.route(host, path)
	if !found {
		return Match{}, ErrNoRoute
	}
	if route.Public || !table.requiresKey {
		return Match{Route: route, Organisation: Organisation{Priority: DefaultPriority}}, nil
	}
	organisation, known := table.keys[key]
	if !known || key == "" {
		return Match{}, ErrUnknownKey
	}
	return Match{Route: route, Organisation: organisation}, nil
}

func (table Table) route(host, path string) (Route, bool) {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, route := range table.hosts[name] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Rank returns the rank of the request. A request of an organisation without a priority
// counts by the route alone.
func (match Match) Rank() Rank {
	organisation := match.Organisation.Priority
	if organisation == DefaultPriority {
		organisation = match.Route.Priority
	}
	return Rank{Organisation: organisation, Route: match.Route.Priority}
}

// Compare returns a negative number if the rank is more urgent than the other, and zero if
// they are equal.
func (rank Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(rank.Organisation, other.Organisation), cmp.Compare(rank.Route, other.Route))
}

// Regions returns the home regions of the request: those that both its route and its
// organisation allow.
func (match Match) Regions() regions.Set {
	return match.Route.Regions.Intersect(match.Organisation.Regions)
}

// PickService picks a service by the weights of the route. Chance is between 0
// (included) and 1 (excluded).
func (route Route) PickService(chance float64) string {
	total := 0.0
	for _, share := range route.Shares {
		total += share.Weight
	}
	offset := chance * total
	for _, share := range route.Shares {
		if offset < share.Weight {
			return share.Service
		}
		offset -= share.Weight
	}
	if len(route.Shares) == 0 {
		return ""
	}
	return route.Shares[len(route.Shares)-1].Service
}

// MayRetry reports whether a request whose outcome is unknown may be sent again.
func (route Route) MayRetry() bool {
	return route.RetryMode == Idempotent || route.RetryMode == Stream && route.Resumable
}

// Package fleet writes the files of a small fleet on one machine: settings for
// each process, the platform's list of hosts, the routes of the fake network, and
// the command lines. A script starts the processes, because no program of the
// system starts another.
package fleet

import (
	"fmt"
	"strings"

	"firford/cmd/fakenetwork/relay"
	"firford/lib/hosts"
)

// Offsets of the ports from the fleet's base port. Processes reach the links and
// chunks of each other through the relay ports of the fake network, which can
// inject faults there.
const (
	portPlatform     = 0
	portNetworkAdmin = 1
	portEntryLinks   = 20
	portEntryRelay   = 40
	portEntryAdmin   = 60
	portCallers      = 80
	portOperators    = 100
	portAgentLinks   = 200
	portAgentRelay   = 300
	portChunks       = 400
	portChunksRelay  = 500
	portAgentAdmin   = 600
	portEngine       = 700

	maxEntries = 20
	maxAgents  = 100
)

type (
	// Plan describes a fleet. A rate of zero bytes per second means no limit.
	Plan struct {
		BasePort            int
		Directory           string
		Binaries            string
		DataCentres         []string
		Region              string
		Entries             int
		Pools               []Pool
		HostBytesPerS       int64
		StopOnViolation     bool
		OriginBytesPerS     int64
		EngineRecordsToFile bool
	}

	// Pool is a deployment with its number of backend servers.
	Pool struct {
		Deployment string
		Type       string
		Servers    int
	}

	// Process is one process of the fleet with its command line. ReadyAddress is the
	// address that answers GET /ready.
	Process struct {
		Name         string
		Arguments    []string
		ReadyAddress string
	}

	// file is one file of the fleet's directory.
	file struct {
		name string
		body string
	}

	// plannedAgent is an agent of the plan. Its number is added to the port offsets.
	plannedAgent struct {
		number     int
		name       string
		pool       Pool
		dataCentre string
	}
)

// ReferencePools returns the pools of one of the first users: a pool of 12
// engines, one of 3 and a plain service on 1 backend server, in three data
// centres.
func ReferencePools() []Pool {
	return []Pool{
		{Deployment: "plant", Type: "engine", Servers: 12},
		{Deployment: "yard", Type: "engine", Servers: 3},
		{Deployment: "office", Type: "service", Servers: 1},
	}
}

// validate returns an error if the port ranges of the plan would overlap.
func (plan Plan) validate() error {
	if plan.Entries < 1 || plan.Entries > maxEntries {
		return fmt.Errorf("%d entries, allowed: 1 to %d", plan.Entries, maxEntries)
	}
	if count := len(plan.agents()); count < 1 || count > maxAgents {
		return fmt.Errorf("%d backend servers, allowed: 1 to %d", count, maxAgents)
	}
	return nil
}

func (plan Plan) address(offset, number int) string {
	return fmt.Sprintf("127.0.0.1:%d", plan.BasePort+offset+number)
}

func (plan Plan) dataCentre(number int) string {
	return plan.DataCentres[number%len(plan.DataCentres)]
}

func (plan Plan) agents() []plannedAgent {
	var agents []plannedAgent
	for _, pool := range plan.Pools {
		for range pool.Servers {
			number := len(agents)
			agents = append(agents, plannedAgent{
				number:     number,
				name:       fmt.Sprintf("agent-%02d", number+1),
				pool:       pool,
				dataCentre: plan.dataCentre(number),
			})
		}
	}
	return agents
}

func entryName(number int) string {
	return fmt.Sprintf("entry-%02d", number+1)
}

// Hosts returns the fleet's hosts as the platform lists them.
func (plan Plan) Hosts() []hosts.Host {
	var list []hosts.Host
	for number := range plan.Entries {
		list = append(list, hosts.Host{
			Name:       entryName(number),
			Role:       hosts.RoleEntry,
			Address:    plan.address(portEntryRelay, number),
			DataCentre: plan.dataCentre(number),
			Region:     plan.Region,
		})
	}
	for _, agent := range plan.agents() {
		list = append(list, hosts.Host{
			Name:         agent.name,
			Role:         hosts.RoleAgent,
			Address:      plan.address(portAgentRelay, agent.number),
			ChunkAddress: plan.address(portChunksRelay, agent.number),
			DataCentre:   agent.dataCentre,
			Region:       plan.Region,
			Deployment:   agent.pool.Deployment,
		})
	}
	return list
}

// Routes returns the relay's routes, two for each agent and one for each entry.
func (plan Plan) Routes() []relay.Route {
	var routes []relay.Route
	for number := range plan.Entries {
		routes = append(routes, relay.Route{
			Name:   entryName(number),
			Listen: plan.address(portEntryRelay, number),
			Target: plan.address(portEntryLinks, number),
		})
	}
	for _, agent := range plan.agents() {
		routes = append(
			routes,
			relay.Route{Name: agent.name, Listen: plan.address(portAgentRelay, agent.number), Target: plan.address(portAgentLinks, agent.number)},
			relay.Route{Name: agent.name + "-chunks", Listen: plan.address(portChunksRelay, agent.number), Target: plan.address(portChunks, agent.number)},
		)
	}
	return routes
}

func (plan Plan) commonSettings(name, dataCentre string) string {
	return fmt.Sprintf(`[process]
name = %s
data_centre = %s
region = %s
log_level = info
stop_on_violation = %t

[platform]
address = %s
token_file = %s/platform.token

[fleet]
key_file = %s/fleet.key

`, name, dataCentre, plan.Region, plan.StopOnViolation, plan.address(portPlatform, 0), plan.Directory, plan.Directory)
}

func (plan Plan) entrySettings(number int) file {
	body := plan.commonSettings(entryName(number), plan.dataCentre(number)) + fmt.Sprintf(`[listen]
links = %s
admin = %s
callers = %s
operators = %s

[operators]
tokens_file = %s/operators.tokens
`, plan.address(portEntryLinks, number), plan.address(portEntryAdmin, number), plan.address(portCallers, number),
		plan.address(portOperators, number), plan.Directory)
	return file{name: entryName(number) + ".ini", body: body}
}

func (plan Plan) agentSettings(agent plannedAgent) file {
	body := plan.commonSettings(agent.name, agent.dataCentre) + fmt.Sprintf(`[listen]
links = %s
admin = %s
chunks = %s

[backend_server]
address = %s
deployment = %s

[transfer]
upload_bytes_per_s = %d
download_bytes_per_s = %d
origin_bytes_per_s = %d
`, plan.address(portAgentLinks, agent.number), plan.address(portAgentAdmin, agent.number), plan.address(portChunks, agent.number),
		plan.address(portEngine, agent.number), agent.pool.Deployment, plan.HostBytesPerS, plan.HostBytesPerS, plan.OriginBytesPerS)
	return file{name: agent.name + ".ini", body: body}
}

// processLine formats a process as one line of processes.tsv: its name, the
// address that answers GET /ready, and its arguments, separated by tabs.
func (process Process) processLine() string {
	return process.Name + "\t" + process.ReadyAddress + "\t" + strings.Join(process.Arguments, " ")
}

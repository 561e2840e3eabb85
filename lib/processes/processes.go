// Package processes reads the settings of entries and agents.
//
// Both programs and the check command of the command line read a file through
// this package, so a file that passes the check starts the process. Separate
// readers in each program were rejected because the check would miss what
// changes in one of them.
package processes

import (
	"fmt"

	"go.uber.org/zap"

	"firford/lib/findings"
	"firford/lib/hosts"
	"firford/lib/links"
	"firford/lib/settings"
)

const (
	defaultChunkMemoryBytes = 1 << 30
	leastChunkMemoryBytes   = 1 << 20
	mostChunkMemoryBytes    = 1 << 40
	mostBytesPerSecond      = 1 << 40
	defaultNeighbours       = 16
	leastNeighbours         = 2
	mostNeighbours          = 64
)

type (
	// Common holds the settings of every process. Secrets are the contents of the
	// files that the settings name. TLS is nil where the section is absent.
	Common struct {
		Name            string
		DataCentre      string
		Region          string
		LogLevel        string
		StopOnViolation bool
		LinksAddress    string
		AdminAddress    string
		PlatformAddress string
		PlatformToken   []byte
		FleetKey        []byte
		TLS             *TLS
	}

	// Entry holds the settings of an entry process.
	Entry struct {
		Common
		CallersAddress   string
		OperatorsAddress string
		OperatorTokens   Tokens
	}

	// Agent holds the settings of an agent process.
	Agent struct {
		Common
		ChunksAddress        string
		BackendServerAddress string
		Deployment           string
		Transfer             Transfer
	}

	// Transfer limits what an agent uses for transfers of weights. A rate of zero
	// is no limit, or an unknown rate of the origin's link, which all hosts share.
	Transfer struct {
		UploadBytesPerSecond   int64
		DownloadBytesPerSecond int64
		OriginBytesPerSecond   int64
		LinkShare              float64
		ChunkMemoryBytes       int64
		Neighbours             int
	}
)

// ReadEntry reads the settings of an entry. The error is a *findings.Error that
// holds every problem, unless the file can't be read at all.
func ReadEntry(path string) (Entry, error) {
	file, err := settings.Open(path)
	if err != nil {
		return Entry{}, err
	}
	return parseEntry(file)
}

// ReadAgent is ReadEntry for an agent.
func ReadAgent(path string) (Agent, error) {
	file, err := settings.Open(path)
	if err != nil {
		return Agent{}, err
	}
	return parseAgent(file)
}

// Check reads the file as the settings of an agent if it has the section
// backend_server, otherwise as those of an entry, and returns the role.
func Check(path string) (string, error) {
	file, err := settings.Open(path)
	if err != nil {
		return "", err
	}
	if file.HasSection("backend_server") {
		_, err = parseAgent(file)
		return hosts.RoleAgent, err
	}
	_, err = parseEntry(file)
	return hosts.RoleEntry, err
}

func parseEntry(file *settings.File) (Entry, error) {
	listen := file.Section("listen")
	entry := Entry{
		Common:           parseCommon(file),
		CallersAddress:   listen.Address("callers"),
		OperatorsAddress: listen.Address("operators"),
	}
	tokensFile := file.Section("operators").Required("tokens_file")
	var problems findings.List
	if tokensFile != "" {
		entry.OperatorTokens, problems = readTokens(tokensFile)
	}
	return entry, file.Findings().Join(problems).Err()
}

func parseAgent(file *settings.File) (Agent, error) {
	server, transfer := file.Section("backend_server"), file.Section("transfer")
	agent := Agent{
		Common:               parseCommon(file),
		ChunksAddress:        file.Section("listen").Address("chunks"),
		BackendServerAddress: server.Address("address"),
		Deployment:           server.Required("deployment"),
		Transfer: Transfer{
			UploadBytesPerSecond:   transfer.Integer("upload_bytes_per_s", 0, 0, mostBytesPerSecond),
			DownloadBytesPerSecond: transfer.Integer("download_bytes_per_s", 0, 0, mostBytesPerSecond),
			OriginBytesPerSecond:   transfer.Integer("origin_bytes_per_s", 0, 0, mostBytesPerSecond),
			LinkShare:              transfer.Share("link_share", 1),
			ChunkMemoryBytes:       transfer.Integer("chunk_memory_bytes", defaultChunkMemoryBytes, leastChunkMemoryBytes, mostChunkMemoryBytes),
			Neighbours:             int(transfer.Integer("neighbours", defaultNeighbours, leastNeighbours, mostNeighbours)),
		},
	}
	return agent, file.Findings().Err()
}

func parseCommon(file *settings.File) Common {
	process, listen, platform := file.Section("process"), file.Section("listen"), file.Section("platform")
	return Common{
		Name:            process.Required("name"),
		DataCentre:      process.Required("data_centre"),
		Region:          process.Required("region"),
		LogLevel:        process.OneOf("log_level", "info", "debug", "warn", "error"),
		StopOnViolation: process.Bool("stop_on_violation", false),
		LinksAddress:    listen.Address("links"),
		AdminAddress:    listen.Address("admin"),
		PlatformAddress: platform.Address("address"),
		PlatformToken:   platform.Secret("token_file"),
		FleetKey:        file.Section("fleet").Secret("key_file"),
		TLS:             parseTLS(file),
	}
}

// LinkOptions returns what the links of the process need. The incarnation differs
// for each start of the process.
func (common Common) LinkOptions(role, incarnation string, router *links.Router, logger *zap.Logger) links.Options {
	options := links.Options{
		Self: links.Identity{
			Name: common.Name, Role: role, DataCentre: common.DataCentre, Incarnation: incarnation,
		},
		Key:    common.FleetKey,
		Router: router,
		Logger: logger,
	}
	if common.TLS != nil {
		options.TLS = common.TLS.LinkConfig()
	}
	return options
}

// Host returns the entry as the platform's list names it.
func (entry Entry) Host(incarnation string) hosts.Host {
	return entry.host(hosts.RoleEntry, incarnation)
}

// Host returns the agent as the platform's list names it.
func (agent Agent) Host(incarnation string) hosts.Host {
	host := agent.host(hosts.RoleAgent, incarnation)
	host.ChunkAddress = agent.ChunksAddress
	host.Deployment = agent.Deployment
	return host
}

func (common Common) host(role, incarnation string) hosts.Host {
	return hosts.Host{
		Name: common.Name, Role: role, Address: common.LinksAddress,
		DataCentre: common.DataCentre, Region: common.Region, Incarnation: incarnation,
	}
}

func (common Common) String() string {
	return fmt.Sprintf("%s in %s, %s", common.Name, common.DataCentre, common.Region)
}

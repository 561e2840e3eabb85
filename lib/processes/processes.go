// Package processes reads the settings of entries and agents.
//
// Both programs and the check command of the command line read a file through
// this package, so that a process starts with any file that passes the check.
// Separate readers in each program were rejected because the check would miss
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
	minChunkMemoryBytes     = 1 << 20
	maxChunkMemoryBytes     = 1 << 40
	maxBytesPerSecond       = 1 << 40
	defaultNeighbours       = 16
	minNeighbours           = 2
	maxNeighbours           = 64
)

type (
	// Common holds the settings that every process has. The secrets are the
	// contents of the files that the settings name. TLS is nil if the section is
	// absent.
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
		OperatorTokens   OperatorTokens
	}

	// Agent holds the settings of an agent process.
	Agent struct {
		Common
		ChunksAddress        string
		BackendServerAddress string
		Deployment           string
		Transfer             Transfer
	}

	// Transfer limits the resources that an agent uses for transfers of weights. A
	// rate of zero means no limit; for the link to the origin, which all hosts
	// share, it means that the rate is unknown.
	Transfer struct {
		UploadBytesPerSecond   int64
		DownloadBytesPerSecond int64
		OriginBytesPerSecond   int64
		LinkShare              float64
		ChunkMemoryBytes       int64
		Neighbours             int
	}
)

// ReadEntry reads the settings of an entry. The error is a *findings.Error with
// all problems of the file, unless the file can't be read.
func ReadEntry(path string) (Entry, error) {
	file, err := settings.Open(path)
	if err != nil {
		return Entry{}, err
	}
	return parseEntry(file)
}

// ReadAgent reads the settings of an agent; see ReadEntry for the error.
func ReadAgent(path string) (Agent, error) {
	file, err := settings.Open(path)
	if err != nil {
		return Agent{}, err
	}
	return parseAgent(file)
}

// Check reads the file as the settings of an agent if it has the section
// backend_server, and otherwise as those of an entry. It returns the role.
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
		entry.OperatorTokens, problems = readOperatorTokens(tokensFile)
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
			UploadBytesPerSecond:   transfer.Integer("upload_bytes_per_s", 0, 0, maxBytesPerSecond),
			DownloadBytesPerSecond: transfer.Integer("download_bytes_per_s", 0, 0, maxBytesPerSecond),
			OriginBytesPerSecond:   transfer.Integer("origin_bytes_per_s", 0, 0, maxBytesPerSecond),
			LinkShare:              transfer.Share("link_share", 1),
			ChunkMemoryBytes:       transfer.Integer("chunk_memory_bytes", defaultChunkMemoryBytes, minChunkMemoryBytes, maxChunkMemoryBytes),
			Neighbours:             int(transfer.Integer("neighbours", defaultNeighbours, minNeighbours, maxNeighbours)),
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

// LinkOptions returns the options for the links of the process. The incarnation
// must differ for each start of the process.
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

// Host returns the entry as it appears in the platform's list.
func (entry Entry) Host(incarnation string) hosts.Host {
	return entry.host(hosts.RoleEntry, incarnation)
}

// Host returns the agent as it appears in the platform's list.
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

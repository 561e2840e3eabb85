package processes

// This file reads the settings of entries and agents that serve routes of the
// operator's configuration on the users' platform. There operators don't call
// the processes, and the platform's store needs no token.

import (
	"net"
	"strconv"
	"strings"
	"time"

	"firford/lib/settings"
	"firford/lib/warmups"
)

const (
	defaultVersionTimeout    = 8 * time.Second
	defaultReconnectTime     = 3 * time.Second
	maxReconnectTime         = time.Minute
	defaultConfigurationTime = 2 * time.Second
	maxConfigurationTime     = time.Minute
	maxVersionTimeout        = 10 * time.Minute
	defaultShutdownTimeout   = 8 * time.Second
	maxShutdownTimeout       = 10 * time.Minute
	defaultLinkMbps          = 1000
	minLinkMbps              = 0.1
	maxLinkMbps              = 1_000_000
	defaultMetricsPort       = 9310
	maxPort                  = 65535
	maxWarmupOverage         = 1000
	maxWarmupSlack           = 1_000_000
)

type (
	// Routed holds the settings that routed entries and agents share.
	// VersionTimeout is the time within which an announced version must be in use;
	// ShutdownTimeout is the time within which a process must end after it was
	// told to stop. Regions maps each data centre to its region.
	Routed struct {
		Name            string
		DataCentre      string
		Region          string
		Regions         map[string]string
		LogLevel        string
		Address         string
		PeerPort        int
		MetricsPort     int
		PlatformAddress string
		VersionTimeout  time.Duration
		ShutdownTimeout time.Duration
	}

	// RoutedEntry holds the settings of a routed entry. ReconnectTime is how long after
	// the end of an outage or a partition it must know again what the store holds.
	// ConfigurationTime is how long after its acknowledgement a configuration must be in
	// force. WarmupTolerance is by how much cold servers may get more requests than the
	// configuration states.
	RoutedEntry struct {
		Routed
		ReconnectTime     time.Duration
		ConfigurationTime time.Duration
		WarmupTolerance   warmups.Tolerance
		CallersAddress    string
		AdminAddress      string
	}

	// RoutedAgent holds the settings of a routed agent.
	RoutedAgent struct {
		Routed
		BackendServerAddress string
		Service              string
		LinkMbps             float64
	}
)

// ReadRoutedEntry reads the settings of a routed entry; see ReadEntry.
func ReadRoutedEntry(path string) (RoutedEntry, error) {
	file, err := settings.Open(path)
	if err != nil {
		return RoutedEntry{}, err
	}
	listen := file.Section("listen")
	entry := RoutedEntry{
		Routed:            parseRouted(file),
		CallersAddress:    listen.Address("callers"),
		AdminAddress:      listen.Address("admin"),
		ReconnectTime:     file.Section("limits").Duration("reconnect_time", defaultReconnectTime, time.Second, maxReconnectTime),
		ConfigurationTime: file.Section("limits").Duration("configuration_time", defaultConfigurationTime, time.Second, maxConfigurationTime),
		WarmupTolerance:   parseWarmupTolerance(file.Section("limits")),
	}
	return entry, file.Findings().Err()
}

// ReadRoutedAgent reads the settings of a routed agent; see ReadEntry.
func ReadRoutedAgent(path string) (RoutedAgent, error) {
	file, err := settings.Open(path)
	if err != nil {
		return RoutedAgent{}, err
	}
	server, transfer := file.Section("backend_server"), file.Section("transfer")
	agent := RoutedAgent{
		Routed:               parseRouted(file),
		BackendServerAddress: server.Address("address"),
		Service:              server.Required("service"),
		LinkMbps:             transfer.Number("link_mbps", defaultLinkMbps, minLinkMbps, maxLinkMbps),
	}
	return agent, file.Findings().Err()
}

func parseRouted(file *settings.File) Routed {
	process, listen := file.Section("process"), file.Section("listen")
	platform, limits := file.Section("platform"), file.Section("limits")
	return Routed{
		Name:            process.Required("name"),
		DataCentre:      process.Required("data_centre"),
		Region:          process.Required("region"),
		Regions:         parseRegions(process),
		LogLevel:        process.OneOf("log_level", "info", "debug", "warn", "error"),
		Address:         listen.Required("address"),
		PeerPort:        int(listen.Integer("peer_port", 0, 1, maxPort)),
		MetricsPort:     int(listen.Integer("metrics_port", defaultMetricsPort, 1, maxPort)),
		PlatformAddress: platform.Address("address"),
		VersionTimeout:  limits.Duration("version_time", defaultVersionTimeout, time.Second, maxVersionTimeout),
		ShutdownTimeout: limits.Duration("stop_time", defaultShutdownTimeout, time.Second, maxShutdownTimeout),
	}
}

// parseWarmupTolerance parses the tolerance for cold servers, which is none by default.
func parseWarmupTolerance(limits settings.Section) warmups.Tolerance {
	return warmups.Tolerance{
		Overage: limits.Number("warmup_overage", warmups.DefaultTolerance.Overage, 0, maxWarmupOverage),
		Slack:   limits.Number("warmup_slack", warmups.DefaultTolerance.Slack, 0, maxWarmupSlack),
	}
}

// parseRegions parses pairs of the form "data_centre:region", separated by
// commas.
func parseRegions(process settings.Section) map[string]string {
	regions := map[string]string{}
	for _, pair := range strings.Split(process.Required("regions"), ",") {
		dataCentre, region, found := strings.Cut(strings.TrimSpace(pair), ":")
		if !found {
			process.AddFinding("regions", "not a pair", pair, "data_centre:region, separated by commas")
			continue
		}
		regions[strings.TrimSpace(dataCentre)] = strings.TrimSpace(region)
	}
	return regions
}

// PeerAddress returns the address at which other processes reach this one.
func (routed Routed) PeerAddress() string {
	return net.JoinHostPort(routed.Address, strconv.Itoa(routed.PeerPort))
}

// MetricsAddress returns the address at which the process serves its metrics.
func (routed Routed) MetricsAddress() string {
	return net.JoinHostPort(routed.Address, strconv.Itoa(routed.MetricsPort))
}

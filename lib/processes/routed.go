package processes

// This file holds the settings of entries and agents that serve routes of the
// operator's configuration on the users' platform, where no operator calls the
// processes and the platform's store needs no token.

import (
	"net"
	"strconv"
	"strings"
	"time"

	"firford/lib/settings"
)

const (
	defaultVersionTime = 8 * time.Second
	longestVersionTime = 10 * time.Minute
	defaultStopTime    = 8 * time.Second
	longestStopTime    = 10 * time.Minute
	defaultLinkMbps    = 1000
	leastLinkMbps      = 0.1
	mostLinkMbps       = 1_000_000
	defaultMetrics     = 9310
	mostPort           = 65535
)

type (
	// Routed holds the settings that routed entries and agents share. VersionTime
	// is how long a named version may take until it is in use; StopTime is how long
	// a process may go on after it was asked to stop. Regions maps data centres.
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
		VersionTime     time.Duration
		StopTime        time.Duration
	}

	// RoutedEntry holds the settings of a routed entry.
	RoutedEntry struct {
		Routed
		Callers string
		Admin   string
	}

	// RoutedAgent holds the settings of a routed agent.
	RoutedAgent struct {
		Routed
		BackendServer string
		Service       string
		LinkMbps      float64
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
		Routed:  parseRouted(file),
		Callers: listen.Address("callers"),
		Admin:   listen.Address("admin"),
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
		Routed:        parseRouted(file),
		BackendServer: server.Address("address"),
		Service:       server.Required("service"),
		LinkMbps:      transfer.Number("link_mbps", defaultLinkMbps, leastLinkMbps, mostLinkMbps),
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
		PeerPort:        int(listen.Integer("peer_port", 0, 1, mostPort)),
		MetricsPort:     int(listen.Integer("metrics_port", defaultMetrics, 1, mostPort)),
		PlatformAddress: platform.Address("address"),
		VersionTime:     limits.Duration("version_time", defaultVersionTime, time.Second, longestVersionTime),
		StopTime:        limits.Duration("stop_time", defaultStopTime, time.Second, longestStopTime),
	}
}

// parseRegions reads "data_centre:region" pairs, separated by commas.
func parseRegions(process settings.Section) map[string]string {
	regions := map[string]string{}
	for _, pair := range strings.Split(process.Required("regions"), ",") {
		dataCentre, region, found := strings.Cut(strings.TrimSpace(pair), ":")
		if !found {
			process.AddFinding("regions", "not a pair", pair, "data_centre:region, separated by commas")
			continue
		}
		regions[dataCentre] = region
	}
	return regions
}

// PeerAddress returns where the other processes reach this one.
func (routed Routed) PeerAddress() string {
	return net.JoinHostPort(routed.Address, strconv.Itoa(routed.PeerPort))
}

// MetricsAddress returns where the process serves its metrics.
func (routed Routed) MetricsAddress() string {
	return net.JoinHostPort(routed.Address, strconv.Itoa(routed.MetricsPort))
}

package config

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

const (
	ticksPerSecond = 100
	kibibyte       = 1024
	// Positions of user and system time among the fields after the name in
	// /proc/PID/stat.
	userField   = 11
	systemField = 12
)

// usage is what a process has used since its start. Bytes counts everything
// that it read and wrote, which here are sockets and its log.
type usage struct {
	cpuSeconds float64
	bytes      int64
	residentKB int64
}

func readUsage(id int) (usage, error) {
	directory := filepath.Join("/proc", strconv.Itoa(id))
	stat, err := os.ReadFile(filepath.Join(directory, "stat"))
	if err != nil {
		return usage{}, fmt.Errorf("process %d has ended: %w", id, err)
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	ticks := number(fields[userField]) + number(fields[systemField])
	traffic, err := os.ReadFile(filepath.Join(directory, "io"))
	if err != nil {
		return usage{}, fmt.Errorf("read traffic of process %d: %w", id, err)
	}
	status, err := os.ReadFile(filepath.Join(directory, "status"))
	if err != nil {
		return usage{}, fmt.Errorf("read memory of process %d: %w", id, err)
	}
	return usage{
		cpuSeconds: float64(ticks) / ticksPerSecond,
		bytes:      value(traffic, "rchar:") + value(traffic, "wchar:"),
		residentKB: value(status, "VmRSS:"),
	}, nil
}

func value(text []byte, key string) int64 {
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, key); found {
			return number(strings.Fields(rest)[0])
		}
	}
	return 0
}

func number(text string) int64 {
	parsed, _ := strconv.ParseInt(text, 10, 64) // The kernel writes digits only.
	return parsed
}

package main

// The project's own processes, started with the commands of the deploy file and with settings
// that are its templates, filled in with the figures of a small deployment.

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The commands of the deploy file.
var commands = map[string][]string{"entry": {"target/entry", "--routed"}, "agent": {"target/agent", "--routed"}}

const (
	zoneName, regionName = "hall-1", "region-1"

	entrySettings = `[process]
name = %[1]s
data_centre = hall-1
region = region-1
regions = hall-1:region-1

[listen]
address = %[2]s
callers = %[2]s:8005
admin = %[2]s:8002
peer_port = 7700
metrics_port = 9310

[platform]
address = %[3]s

[limits]
version_time = 8000ms
stop_time = 8s
reconnect_time = 3000ms
configuration_time = 2000ms
`

	// warmupSettings are the lines that the template adds where a sheet bounds cold engines.
	warmupSettings = `warmup_overage = 1.5
warmup_slack = 5
`

	agentSettings = `[process]
name = %[1]s
data_centre = hall-1
region = region-1
regions = hall-1:region-1

[listen]
address = %[2]s
peer_port = 7700
metrics_port = 9310

[platform]
address = %[3]s

[backend_server]
address = %[2]s:8001
service = pool

[transfer]
link_mbps = 7.6

[limits]
version_time = 8000ms
stop_time = 8s
`
)

// process is one of the project's processes on a host with an address of its own.
type process struct {
	role, name, address string
	// moreSettings is added to the settings.
	moreSettings string
	root, folder string
	storeAddress string
	record       *record

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// running holds all processes that were started.
var running struct {
	mutex sync.Mutex
	all   []*process
}

// endProcesses ends all processes that were started.
func endProcesses() {
	running.mutex.Lock()
	defer running.mutex.Unlock()
	for _, each := range running.all {
		each.kill()
	}
}

// start starts the process. Its log goes to a file in the folder.
func (started *process) start() error {
	text := fmt.Sprintf(map[string]string{"entry": entrySettings, "agent": agentSettings}[started.role], started.name, started.address, started.storeAddress) + started.moreSettings
	settingsPath := filepath.Join(started.folder, started.name+".ini")
	if err := os.WriteFile(settingsPath, []byte(text), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(started.folder, started.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	words := commands[started.role]
	command := exec.Command(filepath.Join(started.root, words[0]), words[1:]...)
	command.Dir = started.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + started.folder, "LANG=C.UTF-8", "FIRFORD_BOOT=" + settingsPath}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() { _ = command.Wait(); close(ended) }()
	started.mutex.Lock()
	started.command, started.ended = command, ended
	started.mutex.Unlock()
	running.mutex.Lock()
	running.all = append(running.all, started)
	running.mutex.Unlock()
	started.record.line("%s starts", started.name)
	return nil
}

// signal sends a signal to the process.
func (started *process) signal(sent syscall.Signal) {
	started.mutex.Lock()
	defer started.mutex.Unlock()
	if started.command != nil {
		_ = started.command.Process.Signal(sent)
	}
}

// kill ends the process and waits for its end.
func (started *process) kill() {
	started.mutex.Lock()
	command, ended := started.command, started.ended
	started.mutex.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGCONT)
	_ = command.Process.Kill()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
	}
}

package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	dataCentre       = "ruaraka-hall"
	region           = "nairobi"
	secondDataCentre = "changamwe-hall"
	secondRegion     = "mombasa"
	// readyTimeout is how long an entry may take until it is ready.
	readyTimeout = 15 * time.Second
)

type (
	// testbed is a small deployment on addresses of the loopback network. Each machine has
	// an address of its own in a block that is chosen at random.
	testbed struct {
		repository string
		folder     string
		block      string
		store      *store
		began      time.Time

		mutex   sync.Mutex
		file    *os.File
		entries []*entryProcess
		// bounds are the bounds of the site that the settings hold.
		bounds siteBounds
	}

	// siteBounds are bounds of a site in milliseconds.
	siteBounds struct{ version, stableWindow, configApply int }

	// entryProcess is an entry, or an agent, that this test started.
	entryProcess struct {
		program   string
		bed       *testbed
		name      string
		ip        string
		callers   string
		readiness string
		settings  string
		stopTime  time.Duration
		command   *exec.Cmd
		// ended is closed when the process has ended.
		ended chan struct{}
	}
)

func newTestbed(repository, recordPath string) (*testbed, error) {
	repository, err := filepath.Abs(repository)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	bed := &testbed{
		repository: repository, folder: folder, file: file, began: time.Now(),
		bounds: siteBounds{version: 8000, stableWindow: 3000, configApply: 2000},
		block:  fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), rand.IntN(256)),
	}
	bed.store, err = startStore(bed.block + "7")
	return bed, err
}

// record writes a line to the record of the run, with the seconds since its start.
func (bed *testbed) record(format string, arguments ...any) {
	bed.mutex.Lock()
	defer bed.mutex.Unlock()
	fmt.Fprintf(bed.file, "%8.3f  %s\n", time.Since(bed.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// close ends all processes that were started.
func (bed *testbed) close() {
	for _, entry := range bed.entries {
		entry.kill()
	}
	_ = os.RemoveAll(bed.folder)
	_ = bed.file.Close()
}

// freePort returns a port of the address that is free now.
func freePort(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// startEntry starts an entry on the machine with the number, in the first data centre.
func (bed *testbed) startEntry(machine int) (*entryProcess, error) {
	return bed.startEntryIn(dataCentre, region, machine)
}

// startEntryIn starts an entry on the machine with the number.
func (bed *testbed) startEntryIn(dataCentre, region string, machine int) (*entryProcess, error) {
	ip := bed.block + fmt.Sprint(machine)
	callers, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	readiness, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	entry := &entryProcess{program: "entry", bed: bed, name: fmt.Sprintf("frontend-%s-%d", dataCentre, machine), ip: ip, callers: callers, readiness: readiness, stopTime: 8 * time.Second}
	entry.settings = filepath.Join(bed.folder, entry.name+".ini")
	text, err := bed.fillTemplate(entry, dataCentre, region)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(entry.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	bed.entries = append(bed.entries, entry)
	return entry, entry.start()
}

// startAgent starts an agent beside the engine at the address, on its machine.
func (bed *testbed) startAgent(beside *server, service, dataCentre, region string) (*entryProcess, error) {
	ip, _, _ := strings.Cut(beside.address, ":")
	agent := &entryProcess{program: "agent", bed: bed, name: "side-" + beside.id, ip: ip}
	agent.settings = filepath.Join(bed.folder, agent.name+".ini")
	text, err := bed.fillTemplate(agent, dataCentre, region, "{{app}}", beside.address, "{{service}}", service, "{{limits.linkMbps}}", "7.3")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(agent.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	bed.entries = append(bed.entries, agent)
	return agent, agent.start()
}

// fillTemplate fills in the template of the deploy file as the platform does.
func (bed *testbed) fillTemplate(entry *entryProcess, dataCentre, region string, others ...string) (string, error) {
	template, err := os.ReadFile(filepath.Join(bed.repository, "deploy", entry.program+".ini"))
	if err != nil {
		return "", err
	}
	text, _, _ := strings.Cut(string(template), "{{#bounds.warmupOverage}}")
	return strings.NewReplacer(append(others,
		"{{nodeName}}", entry.name, "{{zone}}", dataCentre, "{{region}}", region,
		"{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", dataCentre+":"+region+","+secondDataCentre+":"+secondRegion,
		"{{ip}}", entry.ip, "{{listenersMap.frontend}}", entry.callers, "{{listenersMap.readiness}}", entry.readiness,
		"{{internalPorts.0}}", "7700", "{{platform.address}}", bed.store.address,
		"{{bounds.version_ms}}", strconv.Itoa(bed.bounds.version), "{{bounds.graceS}}", "8",
		"{{bounds.stableWindowMs}}", strconv.Itoa(bed.bounds.stableWindow), "{{bounds.configApplyMs}}", strconv.Itoa(bed.bounds.configApply),
	)...).Replace(text), nil
}

// start starts the process with the command of the deploy file.
func (entry *entryProcess) start() error {
	log, err := os.OpenFile(entry.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(entry.bed.repository, "target", entry.program), "--routed")
	command.Dir = entry.bed.repository
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "FIRFORD_BOOT=" + entry.settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	entry.command, entry.ended = command, make(chan struct{})
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(entry.ended)
	}()
	entry.bed.record("%s starts, process %d, callers at %s", entry.name, command.Process.Pid, entry.callers)
	return nil
}

// signal sends the signal to the process.
func (entry *entryProcess) signal(signal syscall.Signal) { _ = entry.command.Process.Signal(signal) }

func (entry *entryProcess) kill() {
	if entry.command == nil {
		return
	}
	_ = entry.command.Process.Kill()
	<-entry.ended
}

// log returns what the process has written.
func (entry *entryProcess) log() string {
	text, _ := os.ReadFile(entry.settings + ".log")
	return string(text)
}

// awaitReady waits until the entry says that it is ready.
func (entry *entryProcess) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + entry.readiness + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			entry.bed.record("%s is ready", entry.name)
			return nil
		}
	}
	return errors.New(entry.name + " is not ready in time: " + entry.log())
}

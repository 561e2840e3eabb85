package main

// This file starts the project's programs by the commands and templates of the deploy
// file, with the settings of a small deployment.

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is one program that can be signalled, killed and started again.
type process struct {
	name, directory, log string
	arguments, extraEnv  []string
	mutex                sync.Mutex
	command              *exec.Cmd
	done                 chan struct{}
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// fillTemplate fills in a template of the deploy file from the fields of DEPLOY.md.
func fillTemplate(path string, fields map[string]string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	filled := sectionPattern.ReplaceAllStringFunc(string(text), func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		value, found := fields[parts[1]]
		switch {
		case !found:
			return ""
		case parts[1] == "zones":
			return value
		default:
			return parts[2]
		}
	})
	return valuePattern.ReplaceAllStringFunc(filled, func(placeholder string) string {
		return fields[valuePattern.FindStringSubmatch(placeholder)[1]]
	}), nil
}

// newProcess writes the settings of a process. The arguments are the command of the role in
// the deploy file, from the root of the repository.
func newProcess(name, directory, template string, arguments, extraEnv []string, fields map[string]string) (*process, error) {
	settings, err := fillTemplate(template, fields)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(directory, name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	return &process{
		name: name, directory: directory, log: filepath.Join(directory, name+".log"),
		arguments: arguments, extraEnv: append(extraEnv, "FIRFORD_BOOT="+path),
	}, nil
}

func (process *process) start() error {
	log, err := os.OpenFile(process.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(process.arguments[0], process.arguments[1:]...)
	command.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + process.directory}, process.extraEnv...)
	command.Stdout, command.Stderr = log, log
	// The process ends with this one.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(done)
	}()
	process.mutex.Lock()
	defer process.mutex.Unlock()
	process.command, process.done = command, done
	return nil
}

func (process *process) signal(signal syscall.Signal) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if process.command != nil {
		_ = process.command.Process.Signal(signal)
	}
}

// wait returns false if the process has not ended within the limit.
func (process *process) wait(limit time.Duration) bool {
	process.mutex.Lock()
	done := process.done
	process.mutex.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

func (process *process) kill() {
	process.signal(syscall.SIGKILL)
	process.wait(5 * time.Second)
}

// cpuTime returns the processor time that the process has used, in hundredths of a second as
// the kernel reports it.
func (process *process) cpuTime() time.Duration {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if process.command == nil {
		return 0
	}
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(process.command.Process.Pid) + "/stat")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(stat[strings.LastIndex(string(stat), ")")+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// residentBytes returns the memory of the process that is in use, zero if it has ended.
func (process *process) residentBytes() int64 {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if process.command == nil {
		return 0
	}
	status, err := os.ReadFile("/proc/" + strconv.Itoa(process.command.Process.Pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if fields := strings.Fields(line); len(fields) >= 2 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

package fleet

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

const (
	secretBytes = 16
	secretMode  = 0o600
	fileMode    = 0o644
)

// OperatorName is the operator whose token the fleet accepts.
const OperatorName = "bench"

// Write creates the fleet's directory with every file that its processes read.
// Each call generates new secrets. processes.tsv lists the processes in the order
// in which they have to be started.
func (plan Plan) Write() error {
	if err := plan.validate(); err != nil {
		return err
	}
	if err := os.MkdirAll(plan.Directory, 0o755); err != nil {
		return fmt.Errorf("write fleet: %w", err)
	}
	files, err := plan.files()
	if err != nil {
		return err
	}
	for _, file := range files {
		if err := os.WriteFile(filepath.Join(plan.Directory, file.name), []byte(file.body), fileMode); err != nil {
			return fmt.Errorf("write fleet: %w", err)
		}
	}
	return plan.writeSecrets()
}

func (plan Plan) files() ([]file, error) {
	hostList, err := json.MarshalIndent(plan.Hosts(), "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode hosts: %w", err)
	}
	routeList, err := json.MarshalIndent(plan.Routes(), "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode routes: %w", err)
	}
	files := []file{
		{name: "hosts.json", body: string(hostList)},
		{name: "routes.json", body: string(routeList)},
		{name: "processes.tsv", body: plan.processList()},
	}
	for number := range plan.Entries {
		files = append(files, plan.entrySettings(number))
	}
	for _, agent := range plan.agents() {
		files = append(files, plan.agentSettings(agent))
	}
	return files, nil
}

func (plan Plan) writeSecrets() error {
	operator := newSecret()
	hash := sha256.Sum256([]byte(operator))
	secrets := map[string]string{
		"platform.token":   newSecret(),
		"fleet.key":        newSecret(),
		"operator.token":   operator,
		"operators.tokens": OperatorName + " " + hex.EncodeToString(hash[:]),
	}
	for name, secret := range secrets {
		if err := os.WriteFile(filepath.Join(plan.Directory, name), []byte(secret+"\n"), secretMode); err != nil {
			return fmt.Errorf("write fleet: %w", err)
		}
	}
	return nil
}

func newSecret() string {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret) // crypto/rand never fails on supported systems.
	return hex.EncodeToString(secret)
}

func (plan Plan) filePath(name string) string {
	return filepath.Join(plan.Directory, name)
}

func (plan Plan) binaryPath(name string) string {
	return filepath.Join(plan.Binaries, name)
}

func (plan Plan) processList() string {
	var lines strings.Builder
	for _, process := range plan.Processes() {
		lines.WriteString(process.processLine() + "\n")
	}
	return lines.String()
}

// Processes returns the fleet's processes in the order in which they have to be
// started.
func (plan Plan) Processes() []Process {
	platform := plan.address(portPlatform, 0)
	network := plan.address(portNetworkAdmin, 0)
	list := []Process{
		{Name: "platform", ReadyAddress: platform, Arguments: []string{
			plan.binaryPath("fakeplatform"), "--listen", platform, "--token-file", plan.filePath("platform.token"),
			"--hosts", plan.filePath("hosts.json"), "--origin-bytes-per-s", strconv.FormatInt(plan.OriginBytesPerS, 10),
			"--membership-lag", "2s", "--state", plan.filePath("platform"),
		}},
		{Name: "network", ReadyAddress: network, Arguments: []string{
			plan.binaryPath("fakenetwork"), "--routes", plan.filePath("routes.json"), "--admin", network,
		}},
	}
	for _, agent := range plan.agents() {
		list = append(list, plan.engineProcess(agent))
	}
	for _, agent := range plan.agents() {
		list = append(list, Process{Name: agent.name, ReadyAddress: plan.address(portAgentAdmin, agent.number), Arguments: []string{
			plan.binaryPath("agent"), "--settings", plan.filePath(agent.name + ".ini"),
		}})
	}
	for number := range plan.Entries {
		list = append(list, Process{Name: entryName(number), ReadyAddress: plan.address(portEntryAdmin, number), Arguments: []string{
			plan.binaryPath("entry"), "--settings", plan.filePath(entryName(number) + ".ini"),
		}})
	}
	return list
}

func (plan Plan) engineProcess(agent plannedAgent) Process {
	address := plan.address(portEngine, agent.number)
	name := strings.Replace(agent.name, "agent", "engine", 1)
	arguments := []string{plan.binaryPath("fakeengine"), "--address", address}
	if agent.pool.Type == "engine" {
		arguments = append(arguments, "--empty")
	}
	if agent.number%2 == 0 {
		// Half of the engines reject an old fencing token, the others ignore it.
		arguments = append(arguments, "--refuse-tokens")
	}
	if plan.EngineRecordsToFile {
		arguments = append(arguments, "--record-file", plan.filePath(name+".record"))
	}
	return Process{Name: name, ReadyAddress: address, Arguments: arguments}
}

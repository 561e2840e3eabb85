// Package burst measures how fast a new version reaches every host and how
// many bytes the origin sends for it.
//
// Each host is a process with one transfers.Node whose link rates are the link
// model; a simulation was dropped because it leaves out connections, timers and
// the cost of messages. A plan that all processes read takes the place of the
// platform's lists.
package burst

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"firford/lib/configurations"
	"firford/lib/hosts"
	"firford/lib/weights"
)

const (
	faultsNone = "none"
	faultsSome = "some"

	strategySwarm  = "swarm"
	strategyOrigin = "origin"
	strategyChain  = "chain"
	strategyTree   = "tree"

	versionWarm = "warm"
	versionNew  = "new"

	// Small earlier version, whose transfer opens the links before the burst.
	warmChunks = 8

	actionKill   = "KILL"
	actionFreeze = "STOP"

	// One host in this many is lost, alternately killed and frozen.
	lostEach     = 10
	stalledLinks = 3
	corruptShare = 0.01
	// The losses spread over this part of the ideal transfer time.
	firstLoss = 0.1
	lastLoss  = 0.7
)

type (
	// Command holds the subcommands of the measurement.
	Command struct {
		Plan    *PlanCommand    `arg:"subcommand:plan" help:"write the plan of a run and the list of its faults"`
		Host    *HostCommand    `arg:"subcommand:host" help:"run one host"`
		Drive   *DriveCommand   `arg:"subcommand:drive" help:"start the burst and measure it"`
		Table   *TableCommand   `arg:"subcommand:table" help:"print and save the results of several runs"`
		Compare *CompareCommand `arg:"subcommand:compare" help:"compare two saved tables"`
	}

	// PlanCommand writes a plan.
	PlanCommand struct {
		Directory  string        `arg:"required" help:"where plan.json and faults.txt are written"`
		Hosts      int           `default:"60"`
		Faults     string        `default:"none" help:"none or some"`
		Strategy   string        `default:"swarm" help:"swarm, origin, chain or tree"`
		Policy     string        `default:"less_time" help:"less_time or fewer_origin_bytes"`
		Seed       uint64        `default:"7"`
		Chunks     int           `default:"400"`
		ChunkBytes int64         `default:"10240"`
		W          time.Duration `default:"30s" help:"time in which the origin's link carries 4 copies and a host's link 2"`
		Neighbours int           `default:"16"`
		Port       int           `default:"12000" help:"first of the ports on loopback"`
	}

	// plan is what all processes of a run know.
	plan struct {
		Faults      string                      `json:"faults"`
		Strategy    string                      `json:"strategy"`
		Policy      string                      `json:"policy"`
		Seed        uint64                      `json:"seed"`
		WMS         int64                       `json:"w_ms"`
		OriginRate  int64                       `json:"origin_bytes_per_s"`
		HostRate    int64                       `json:"host_bytes_per_s"`
		Neighbours  int                         `json:"neighbours"`
		ChunkBytes  int64                       `json:"chunk_bytes"`
		Origin      string                      `json:"origin"`
		Hosts       []hosts.Host                `json:"hosts"`
		Admins      map[string]string           `json:"admins"`
		Manifests   map[string]weights.Manifest `json:"manifests"`
		Losses      []loss                      `json:"losses"`
		Stalls      map[string]string           `json:"stalls"`
		CorruptRate float64                     `json:"corrupt_rate"`
	}

	// loss is a host that the script kills or freezes after a part of the run.
	loss struct {
		Host   string  `json:"host"`
		Action string  `json:"action"`
		AfterS float64 `json:"after_s"`
	}
)

// Run writes the plan.
func (command *PlanCommand) Run(context.Context) error {
	if err := command.check(); err != nil {
		return err
	}
	made := command.make()
	encoded, err := json.Marshal(made)
	if err != nil {
		return fmt.Errorf("encode plan: %w", err)
	}
	if err := os.WriteFile(command.Directory+"/plan.json", encoded, 0o644); err != nil {
		return fmt.Errorf("write plan: %w", err)
	}
	var faults bytes.Buffer
	before := 0.0
	for _, lost := range made.Losses {
		fmt.Fprintf(&faults, "%.3f %s %s\n", lost.AfterS-before, lost.Action, lost.Host)
		before = lost.AfterS
	}
	if err := os.WriteFile(command.Directory+"/faults.txt", faults.Bytes(), 0o644); err != nil {
		return fmt.Errorf("write faults: %w", err)
	}
	fmt.Println("origin", made.Origin, made.OriginRate)
	for _, host := range made.Hosts {
		fmt.Println(host.Name, made.Admins[host.Name])
	}
	return nil
}

func (command *PlanCommand) check() error {
	for _, each := range []struct {
		value   string
		allowed []string
	}{
		{command.Faults, []string{faultsNone, faultsSome}},
		{command.Strategy, []string{strategySwarm, strategyOrigin, strategyChain, strategyTree}},
		{command.Policy, []string{configurations.PolicyLessTime, configurations.PolicyFewerOriginBytes}},
	} {
		known := false
		for _, allowed := range each.allowed {
			known = known || allowed == each.value
		}
		if !known {
			return fmt.Errorf("%q is not one of %v", each.value, each.allowed)
		}
	}
	if command.Hosts < 2 || command.Hosts > 1000 || command.Chunks < 1 || command.ChunkBytes < 1 || command.W <= 0 {
		return fmt.Errorf("a run needs 2 to 1000 hosts, chunks and a W above zero")
	}
	return nil
}

func (command *PlanCommand) make() plan {
	size := command.ChunkBytes * int64(command.Chunks)
	made := plan{
		Faults:     command.Faults,
		Strategy:   command.Strategy,
		Policy:     command.Policy,
		Seed:       command.Seed,
		WMS:        command.W.Milliseconds(),
		OriginRate: int64(float64(4*size) / command.W.Seconds()),
		HostRate:   int64(float64(2*size) / command.W.Seconds()),
		Neighbours: command.Neighbours,
		ChunkBytes: command.ChunkBytes,
		Origin:     fmt.Sprintf("127.0.0.1:%d", command.Port),
		Admins:     map[string]string{},
		Manifests:  map[string]weights.Manifest{},
		Stalls:     map[string]string{},
	}
	for version, chunks := range map[string]int{versionWarm: warmChunks, versionNew: command.Chunks} {
		manifest, err := weights.BuildManifest(version, bytes.NewReader(content(version, command.Seed, command.ChunkBytes*int64(chunks))), command.ChunkBytes)
		if err != nil {
			panic(fmt.Sprintf("content from memory is readable: %v", err))
		}
		made.Manifests[version] = manifest
	}
	for at := range command.Hosts {
		name, port := fmt.Sprintf("host-%03d", at), command.Port+1+3*at
		made.Hosts = append(made.Hosts, hosts.Host{
			Name:         name,
			Role:         hosts.RoleAgent,
			Address:      fmt.Sprintf("127.0.0.1:%d", port),
			ChunkAddress: fmt.Sprintf("127.0.0.1:%d", port+1),
		})
		made.Admins[name] = fmt.Sprintf("127.0.0.1:%d", port+2)
	}
	if command.Faults == faultsSome {
		made.addFaults(rand.New(rand.NewPCG(command.Seed, 1)))
	}
	return made
}

// addFaults picks the lost hosts and the stalled links by the seed.
func (made *plan) addFaults(random *rand.Rand) {
	made.CorruptRate = corruptShare
	order := random.Perm(len(made.Hosts))
	count := max(1, len(made.Hosts)/lostEach)
	for at := range count {
		action := actionKill
		if at%2 == 1 {
			action = actionFreeze
		}
		part := firstLoss + (lastLoss-firstLoss)*float64(at)/float64(count)
		made.Losses = append(made.Losses, loss{
			Host:   made.Hosts[order[at]].Name,
			Action: action,
			AfterS: part * made.limit(),
		})
	}
	for at := range min(stalledLinks, len(order)-count) {
		sender := made.Hosts[order[count+at]].Name
		near := hosts.Neighbours(sender, made.Hosts, made.Neighbours)
		made.Stalls[sender] = near[random.IntN(len(near))].Name
	}
}

// limit returns the ideal transfer time in seconds: W/2 for full-duplex links.
func (made *plan) limit() float64 { return float64(made.WMS) / 1000 / 2 }

// lost returns the names of the hosts that do not survive the run.
func (made *plan) lost() map[string]bool {
	names := map[string]bool{}
	for _, each := range made.Losses {
		names[each.Host] = true
	}
	return names
}

// content returns the bytes of a version, which follow from the seed.
func content(version string, seed uint64, size int64) []byte {
	random := rand.NewChaCha8(weights.Sum(fmt.Appendf(nil, "%s %d", version, seed)))
	made := make([]byte, size)
	_, _ = random.Read(made)
	return made
}

func readPlan(directory string) (plan, error) {
	var read plan
	encoded, err := os.ReadFile(directory + "/plan.json")
	if err != nil {
		return read, fmt.Errorf("read plan: %w", err)
	}
	if err := json.Unmarshal(encoded, &read); err != nil {
		return read, fmt.Errorf("decode plan: %w", err)
	}
	return read, nil
}

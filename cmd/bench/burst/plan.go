// Package burst measures how fast a new version reaches every host and how
// many bytes the origin sends for it.
//
// Each host is a process with one transfers.Node, whose rate limits model the
// links. A simulation was dropped, because it leaves out connections, timers and
// the cost of messages. All processes read the same plan, which replaces the
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

	versionWarmUp = "warm"
	versionNew    = "new"

	// The warm-up version is small; its transfer opens the links before the burst.
	warmUpChunks = 8

	actionKill   = "KILL"
	actionFreeze = "STOP"

	// One host in hostsPerLoss is lost. Lost hosts are killed and frozen in turn.
	hostsPerLoss = 10
	stalledLinks = 3
	corruptShare = 0.01
	// Hosts are lost at even intervals between these shares of the ideal transfer
	// time.
	firstLossShare = 0.1
	lastLossShare  = 0.7
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

	// PlanCommand writes the plan of a run and the list of its faults.
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

	// plan is the configuration that all processes of a run share. StalledPeers
	// maps each sender with a stalled link to the receiver at its other end.
	plan struct {
		Faults         string                      `json:"faults"`
		Strategy       string                      `json:"strategy"`
		Policy         string                      `json:"policy"`
		Seed           uint64                      `json:"seed"`
		WindowMS       int64                       `json:"w_ms"`
		OriginRate     int64                       `json:"origin_bytes_per_s"`
		HostRate       int64                       `json:"host_bytes_per_s"`
		Neighbours     int                         `json:"neighbours"`
		ChunkBytes     int64                       `json:"chunk_bytes"`
		Origin         string                      `json:"origin"`
		Hosts          []hosts.Host                `json:"hosts"`
		AdminAddresses map[string]string           `json:"admins"`
		Manifests      map[string]weights.Manifest `json:"manifests"`
		Losses         []hostLoss                  `json:"losses"`
		StalledPeers   map[string]string           `json:"stalls"`
		CorruptRate    float64                     `json:"corrupt_rate"`
	}

	// hostLoss is a host that the script kills or freezes AfterS seconds into the
	// burst.
	hostLoss struct {
		Host   string  `json:"host"`
		Action string  `json:"action"`
		AfterS float64 `json:"after_s"`
	}
)

// Run writes plan.json and faults.txt, and prints the name and address of the
// origin and of each host for the script.
func (command *PlanCommand) Run(context.Context) error {
	if err := command.validate(); err != nil {
		return err
	}
	plan := command.buildPlan()
	encoded, err := json.Marshal(plan)
	if err != nil {
		return fmt.Errorf("encode plan: %w", err)
	}
	if err := os.WriteFile(command.Directory+"/plan.json", encoded, 0o644); err != nil {
		return fmt.Errorf("write plan: %w", err)
	}
	var faults bytes.Buffer
	before := 0.0
	for _, lost := range plan.Losses {
		fmt.Fprintf(&faults, "%.3f %s %s\n", lost.AfterS-before, lost.Action, lost.Host)
		before = lost.AfterS
	}
	if err := os.WriteFile(command.Directory+"/faults.txt", faults.Bytes(), 0o644); err != nil {
		return fmt.Errorf("write faults: %w", err)
	}
	fmt.Println("origin", plan.Origin, plan.OriginRate)
	for _, host := range plan.Hosts {
		fmt.Println(host.Name, plan.AdminAddresses[host.Name])
	}
	return nil
}

func (command *PlanCommand) validate() error {
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
		return fmt.Errorf("need 2 to 1000 hosts, at least one chunk and a W above zero")
	}
	return nil
}

func (command *PlanCommand) buildPlan() plan {
	size := command.ChunkBytes * int64(command.Chunks)
	plan := plan{
		Faults:         command.Faults,
		Strategy:       command.Strategy,
		Policy:         command.Policy,
		Seed:           command.Seed,
		WindowMS:       command.W.Milliseconds(),
		OriginRate:     int64(float64(4*size) / command.W.Seconds()),
		HostRate:       int64(float64(2*size) / command.W.Seconds()),
		Neighbours:     command.Neighbours,
		ChunkBytes:     command.ChunkBytes,
		Origin:         fmt.Sprintf("127.0.0.1:%d", command.Port),
		AdminAddresses: map[string]string{},
		Manifests:      map[string]weights.Manifest{},
		StalledPeers:   map[string]string{},
	}
	for version, chunks := range map[string]int{versionWarmUp: warmUpChunks, versionNew: command.Chunks} {
		manifest, err := weights.BuildManifest(version, bytes.NewReader(versionContent(version, command.Seed, command.ChunkBytes*int64(chunks))), command.ChunkBytes)
		if err != nil {
			panic(fmt.Sprintf("reading from memory failed: %v", err))
		}
		plan.Manifests[version] = manifest
	}
	for index := range command.Hosts {
		name, port := fmt.Sprintf("host-%03d", index), command.Port+1+3*index
		plan.Hosts = append(plan.Hosts, hosts.Host{
			Name:         name,
			Role:         hosts.RoleAgent,
			Address:      fmt.Sprintf("127.0.0.1:%d", port),
			ChunkAddress: fmt.Sprintf("127.0.0.1:%d", port+1),
		})
		plan.AdminAddresses[name] = fmt.Sprintf("127.0.0.1:%d", port+2)
	}
	if command.Faults == faultsSome {
		plan.addFaults(rand.New(rand.NewPCG(command.Seed, 1)))
	}
	return plan
}

// addFaults chooses the lost hosts and the stalled links with the given random
// source, so that equal seeds give equal faults.
func (plan *plan) addFaults(random *rand.Rand) {
	plan.CorruptRate = corruptShare
	order := random.Perm(len(plan.Hosts))
	count := max(1, len(plan.Hosts)/hostsPerLoss)
	for index := range count {
		action := actionKill
		if index%2 == 1 {
			action = actionFreeze
		}
		share := firstLossShare + (lastLossShare-firstLossShare)*float64(index)/float64(count)
		plan.Losses = append(plan.Losses, hostLoss{
			Host:   plan.Hosts[order[index]].Name,
			Action: action,
			AfterS: share * plan.idealSeconds(),
		})
	}
	for index := range min(stalledLinks, len(order)-count) {
		sender := plan.Hosts[order[count+index]].Name
		neighbours := hosts.Neighbours(sender, plan.Hosts, plan.Neighbours)
		plan.StalledPeers[sender] = neighbours[random.IntN(len(neighbours))].Name
	}
}

// idealSeconds returns the ideal transfer time: W/2 for full-duplex links.
func (plan *plan) idealSeconds() float64 { return float64(plan.WindowMS) / 1000 / 2 }

// lostHosts returns the names of the hosts that do not survive the run.
func (plan *plan) lostHosts() map[string]bool {
	names := map[string]bool{}
	for _, each := range plan.Losses {
		names[each.Host] = true
	}
	return names
}

// versionContent returns the bytes of a version, which depend only on its name
// and the seed.
func versionContent(version string, seed uint64, size int64) []byte {
	random := rand.NewChaCha8(weights.Sum(fmt.Appendf(nil, "%s %d", version, seed)))
	body := make([]byte, size)
	_, _ = random.Read(body)
	return body
}

func readPlan(directory string) (plan, error) {
	var decoded plan
	encoded, err := os.ReadFile(directory + "/plan.json")
	if err != nil {
		return decoded, fmt.Errorf("read plan: %w", err)
	}
	if err := json.Unmarshal(encoded, &decoded); err != nil {
		return decoded, fmt.Errorf("decode plan: %w", err)
	}
	return decoded, nil
}

package burst

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"firford/lib/hosts"
	"firford/lib/waits"
)

const (
	pollInterval     = time.Second
	readyTimeout     = 60 * time.Second
	warmUpTimeout    = 60 * time.Second
	baselineDuration = 5 * time.Second
	callTimeout      = 2 * time.Second
	maxParallelCalls = 64
	// A run times out after this many times the ideal time of its strategy.
	timeoutFactor = 6
)

type (
	// DriveCommand starts the burst and measures it.
	DriveCommand struct {
		Directory string `arg:"required" help:"where plan.json is and result.json is written"`
	}

	// result is the measurement of one run: the content of result.json and one
	// row of the printed table. FirstS, HalfS, AllS and TimesS are the times after
	// the start of the burst when hosts completed the version.
	result struct {
		Strategy     string    `json:"strategy"`
		Policy       string    `json:"policy"`
		Hosts        int       `json:"hosts"`
		Faults       string    `json:"faults"`
		Seed         uint64    `json:"seed"`
		WindowS      float64   `json:"w_s"`
		LimitS       float64   `json:"limit_s"`
		Surviving    int       `json:"surviving"`
		Complete     int       `json:"complete"`
		FirstS       float64   `json:"first_s"`
		HalfS        float64   `json:"half_s"`
		AllS         float64   `json:"all_s"`
		TimeRatio    float64   `json:"time_ratio"`
		OriginCopies float64   `json:"origin_copies"`
		ControlRate  float64   `json:"control_bytes_per_host_s"`
		LiveBeforeMS float64   `json:"live_p95_before_ms"`
		LiveDuringMS float64   `json:"live_p95_during_ms"`
		LiveRatio    float64   `json:"live_p95_ratio"`
		WrongChunks  int64     `json:"wrong_chunks"`
		Duplicates   int64     `json:"duplicates"`
		Refused      int64     `json:"refused"`
		Broken       int64     `json:"broken"`
		TimesS       []float64 `json:"times_s"`
	}

	driver struct {
		plan      plan
		directory string
		client    *fasthttp.Client
		survivors []hosts.Host
	}
)

// Run starts the burst, measures it and writes result.json.
func (command *DriveCommand) Run(ctx context.Context) error {
	plan, err := readPlan(command.Directory)
	if err != nil {
		return err
	}
	driver := &driver{plan: plan, directory: command.Directory, client: &fasthttp.Client{MaxConnsPerHost: 16}}
	lost := plan.lostHosts()
	driver.survivors = hosts.Select(plan.Hosts, func(host hosts.Host) bool { return !lost[host.Name] })
	measured, err := driver.measure(ctx)
	if err != nil {
		return err
	}
	encoded, err := json.Marshal(measured)
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	if err := os.WriteFile(command.Directory+"/result.json", encoded, 0o644); err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	return nil
}

func (driver *driver) measure(ctx context.Context) (result, error) {
	if err := driver.waitUntilReady(ctx); err != nil {
		return result{}, err
	}
	if err := driver.publish(ctx); err != nil {
		return result{}, err
	}
	if err := driver.warmUp(ctx); err != nil {
		return result{}, err
	}
	stopBaseline := driver.startLiveLoad(ctx)
	waits.Sleep(ctx, baselineDuration)
	before := stopBaseline()
	originBefore, err := driver.originBytes()
	if err != nil {
		return result{}, err
	}
	if err := os.WriteFile(driver.directory+"/started", nil, 0o644); err != nil {
		return result{}, fmt.Errorf("write start marker: %w", err)
	}
	stopLive := driver.startLiveLoad(ctx)
	started := time.Now()
	if err := driver.setTarget(ctx, versionNew, driver.plan.Hosts); err != nil {
		return result{}, err
	}
	statuses := driver.waitForCompletion(ctx, versionNew, started.Add(driver.timeout()))
	during := stopLive()
	originAfter, err := driver.originBytes()
	if err != nil {
		return result{}, err
	}
	measured := driver.summarise(started, statuses)
	measured.OriginCopies = float64(originAfter-originBefore) / float64(driver.plan.Manifests[versionNew].Size)
	measured.LiveBeforeMS, measured.LiveDuringMS = before, during
	measured.LiveRatio = during / before
	return measured, ctx.Err()
}

// timeout returns how long the burst may take. The origin baseline gets more,
// because its ideal time grows with the number of hosts.
func (driver *driver) timeout() time.Duration {
	ideal := driver.plan.idealSeconds()
	if driver.plan.Strategy == strategyOrigin {
		ideal *= float64(len(driver.plan.Hosts)) / 2
	}
	return time.Duration((ideal*timeoutFactor + 10) * float64(time.Second))
}

func (driver *driver) waitUntilReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, address := range driver.addresses() {
		for {
			status, _, err := driver.client.GetTimeout(nil, "http://"+address+readyPath, callTimeout)
			if err == nil && status == fasthttp.StatusOK {
				break
			}
			if !time.Now().Before(deadline) || !waits.Sleep(ctx, 100*time.Millisecond) {
				return fmt.Errorf("%s is not ready", address)
			}
		}
	}
	return nil
}

func (driver *driver) addresses() []string {
	list := []string{driver.plan.Origin}
	for _, host := range driver.plan.Hosts {
		list = append(list, driver.plan.AdminAddresses[host.Name])
	}
	return list
}

// warmUp transfers a small version to all hosts first. This opens the links,
// as they are open in a fleet that already serves an earlier version.
func (driver *driver) warmUp(ctx context.Context) error {
	if err := driver.setTarget(ctx, versionWarmUp, driver.plan.Hosts); err != nil {
		return err
	}
	// Hosts are lost only during the burst, so all of them are polled here.
	driver.survivors, driver.plan.Hosts = driver.plan.Hosts, driver.survivors
	statuses := driver.waitForCompletion(ctx, versionWarmUp, time.Now().Add(warmUpTimeout))
	driver.survivors, driver.plan.Hosts = driver.plan.Hosts, driver.survivors
	for _, host := range driver.plan.Hosts {
		if statuses[host.Name].CompletedAt[versionWarmUp] == 0 {
			return fmt.Errorf("%s did not complete the warm-up version before the burst", host.Name)
		}
	}
	return nil
}

// setTarget sets the target version on all hosts, several at a time.
func (driver *driver) setTarget(ctx context.Context, version string, all []hosts.Host) error {
	errs := make(chan error, len(all))
	slots := make(chan struct{}, maxParallelCalls)
	for _, host := range all {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			status, body, err := driver.client.GetTimeout(nil, "http://"+driver.plan.AdminAddresses[host.Name]+targetPath+version, 10*callTimeout)
			if err == nil && status != fasthttp.StatusOK {
				err = errors.New(string(body))
			}
			errs <- err
		}()
	}
	var problems error
	for range all {
		problems = errors.Join(problems, <-errs)
	}
	return errors.Join(problems, ctx.Err())
}

// waitForCompletion polls the surviving hosts until all hold the complete version
// or the deadline passes. It returns the last status of each host.
func (driver *driver) waitForCompletion(ctx context.Context, version string, deadline time.Time) map[string]status {
	statuses := map[string]status{}
	for {
		missing := 0
		for _, host := range driver.survivors {
			if statuses[host.Name].CompletedAt[version] != 0 {
				continue
			}
			if decoded, err := driver.fetchStatus(host); err == nil {
				statuses[host.Name] = decoded
			}
			if statuses[host.Name].CompletedAt[version] == 0 {
				missing++
			}
		}
		if missing == 0 || !time.Now().Before(deadline) || !waits.Sleep(ctx, pollInterval) {
			return statuses
		}
	}
}

func (driver *driver) fetchStatus(host hosts.Host) (status, error) {
	var decoded status
	code, body, err := driver.client.GetTimeout(nil, "http://"+driver.plan.AdminAddresses[host.Name]+statusPath, callTimeout)
	if err != nil {
		return decoded, fmt.Errorf("read status of %s: %w", host.Name, err)
	}
	if code != fasthttp.StatusOK {
		return decoded, fmt.Errorf("read status of %s: status code %d", host.Name, code)
	}
	return decoded, json.Unmarshal(body, &decoded)
}

func (driver *driver) summarise(started time.Time, statuses map[string]status) result {
	plan := driver.plan
	row := result{
		Strategy: plan.Strategy, Policy: plan.Policy, Hosts: len(plan.Hosts), Faults: plan.Faults, Seed: plan.Seed,
		WindowS: float64(plan.WindowMS) / 1000, LimitS: plan.idealSeconds(), Surviving: len(driver.survivors),
	}
	control := 0.0
	for _, each := range statuses {
		row.WrongChunks += each.Counts.WrongChunks
		row.Duplicates += each.Counts.DuplicateRequests
		row.Refused += each.Counts.RefusedRequests
		row.Broken += each.Counts.BrokenRequests
		if each.CompletedAt[versionNew] == 0 {
			continue
		}
		elapsed := time.Unix(0, each.CompletedAt[versionNew]).Sub(started).Seconds()
		row.TimesS = append(row.TimesS, elapsed)
		control += float64(each.Control[versionNew]) / elapsed
	}
	slices.Sort(row.TimesS)
	row.Complete = len(row.TimesS)
	if row.Complete == 0 {
		return row
	}
	row.FirstS, row.AllS = row.TimesS[0], row.TimesS[row.Complete-1]
	row.HalfS = row.TimesS[(row.Complete-1)/2]
	row.TimeRatio = row.AllS / row.LimitS
	row.ControlRate = control / float64(row.Complete)
	return row
}

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
)

const (
	pollInterval  = time.Second
	readyPatience = 60 * time.Second
	warmPatience  = 60 * time.Second
	liveBaseline  = 5 * time.Second
	callTimeout   = 2 * time.Second
	parallelCalls = 64
	// A run is given up after this many times the ideal time of its strategy.
	patienceFactor = 6
)

type (
	// DriveCommand starts the burst and measures it.
	DriveCommand struct {
		Directory string `arg:"required" help:"where plan.json is and result.json is written"`
	}

	// result is one row of the table.
	result struct {
		Strategy     string    `json:"strategy"`
		Policy       string    `json:"policy"`
		Hosts        int       `json:"hosts"`
		Faults       string    `json:"faults"`
		Seed         uint64    `json:"seed"`
		WS           float64   `json:"w_s"`
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
		made      plan
		directory string
		client    *fasthttp.Client
		survivors []hosts.Host
	}
)

// Run drives one run and writes its result.
func (command *DriveCommand) Run(ctx context.Context) error {
	made, err := readPlan(command.Directory)
	if err != nil {
		return err
	}
	driving := &driver{made: made, directory: command.Directory, client: &fasthttp.Client{MaxConnsPerHost: 16}}
	lost := made.lost()
	driving.survivors = hosts.Select(made.Hosts, func(host hosts.Host) bool { return !lost[host.Name] })
	measured, err := driving.measure(ctx)
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

func (driving *driver) measure(ctx context.Context) (result, error) {
	if err := driving.ready(ctx); err != nil {
		return result{}, err
	}
	if err := driving.publish(ctx); err != nil {
		return result{}, err
	}
	if err := driving.warm(ctx); err != nil {
		return result{}, err
	}
	baseline := driving.startLive(ctx)
	sleep(ctx, liveBaseline)
	before := baseline()
	originBefore, err := driving.originBytes()
	if err != nil {
		return result{}, err
	}
	if err := os.WriteFile(driving.directory+"/started", nil, 0o644); err != nil {
		return result{}, fmt.Errorf("mark the start: %w", err)
	}
	live := driving.startLive(ctx)
	started := time.Now()
	if err := driving.want(ctx, versionNew, driving.made.Hosts); err != nil {
		return result{}, err
	}
	all := driving.await(ctx, versionNew, started.Add(driving.patience()))
	during := live()
	originAfter, err := driving.originBytes()
	if err != nil {
		return result{}, err
	}
	measured := driving.summarise(started, all)
	measured.OriginCopies = float64(originAfter-originBefore) / float64(driving.made.Manifests[versionNew].Size)
	measured.LiveBeforeMS, measured.LiveDuringMS = before, during
	measured.LiveRatio = during / before
	return measured, ctx.Err()
}

// patience is longer for baselines whose ideal time is longer.
func (driving *driver) patience() time.Duration {
	ideal := driving.made.limit()
	if driving.made.Strategy == strategyOrigin {
		ideal *= float64(len(driving.made.Hosts)) / 2
	}
	return time.Duration((ideal*patienceFactor + 10) * float64(time.Second))
}

func (driving *driver) ready(ctx context.Context) error {
	deadline := time.Now().Add(readyPatience)
	for _, address := range driving.addresses() {
		for {
			status, _, err := driving.client.GetTimeout(nil, "http://"+address+readyPath, callTimeout)
			if err == nil && status == fasthttp.StatusOK {
				break
			}
			if !time.Now().Before(deadline) || !sleep(ctx, 100*time.Millisecond) {
				return fmt.Errorf("%s is not ready", address)
			}
		}
	}
	return nil
}

func (driving *driver) addresses() []string {
	list := []string{driving.made.Origin}
	for _, host := range driving.made.Hosts {
		list = append(list, driving.made.Admins[host.Name])
	}
	return list
}

// warm brings a small version to all hosts, so that the links are open as they
// are in a fleet that serves an earlier version.
func (driving *driver) warm(ctx context.Context) error {
	if err := driving.want(ctx, versionWarm, driving.made.Hosts); err != nil {
		return err
	}
	driving.survivors, driving.made.Hosts = driving.made.Hosts, driving.survivors
	all := driving.await(ctx, versionWarm, time.Now().Add(warmPatience))
	driving.survivors, driving.made.Hosts = driving.made.Hosts, driving.survivors
	for _, host := range driving.made.Hosts {
		if all[host.Name].WholeAt[versionWarm] == 0 {
			return fmt.Errorf("%s did not get the version before the burst", host.Name)
		}
	}
	return nil
}

// want gives the target to all hosts, several at a time.
func (driving *driver) want(ctx context.Context, version string, all []hosts.Host) error {
	failed := make(chan error, len(all))
	slots := make(chan struct{}, parallelCalls)
	for _, host := range all {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			status, body, err := driving.client.GetTimeout(nil, "http://"+driving.made.Admins[host.Name]+wantPath+version, 10*callTimeout)
			if err == nil && status != fasthttp.StatusOK {
				err = errors.New(string(body))
			}
			failed <- err
		}()
	}
	var problems error
	for range all {
		problems = errors.Join(problems, <-failed)
	}
	return errors.Join(problems, ctx.Err())
}

// await polls the surviving hosts until all are whole or the deadline passes.
func (driving *driver) await(ctx context.Context, version string, deadline time.Time) map[string]status {
	all := map[string]status{}
	for {
		missing := 0
		for _, host := range driving.survivors {
			if all[host.Name].WholeAt[version] != 0 {
				continue
			}
			if read, err := driving.status(host); err == nil {
				all[host.Name] = read
			}
			if all[host.Name].WholeAt[version] == 0 {
				missing++
			}
		}
		if missing == 0 || !time.Now().Before(deadline) || !sleep(ctx, pollInterval) {
			return all
		}
	}
}

func (driving *driver) status(host hosts.Host) (status, error) {
	var read status
	code, body, err := driving.client.GetTimeout(nil, "http://"+driving.made.Admins[host.Name]+statusPath, callTimeout)
	if err != nil || code != fasthttp.StatusOK {
		return read, fmt.Errorf("status of %s: %d %w", host.Name, code, err)
	}
	return read, json.Unmarshal(body, &read)
}

func (driving *driver) summarise(started time.Time, all map[string]status) result {
	made := driving.made
	row := result{
		Strategy: made.Strategy, Policy: made.Policy, Hosts: len(made.Hosts), Faults: made.Faults, Seed: made.Seed,
		WS: float64(made.WMS) / 1000, LimitS: made.limit(), Surviving: len(driving.survivors),
	}
	control := 0.0
	for _, each := range all {
		row.WrongChunks += each.Counts.WrongChunks
		row.Duplicates += each.Counts.DuplicateRequests
		row.Refused += each.Counts.RefusedRequests
		row.Broken += each.Counts.BrokenRequests
		if each.WholeAt[versionNew] == 0 {
			continue
		}
		span := time.Unix(0, each.WholeAt[versionNew]).Sub(started).Seconds()
		row.TimesS = append(row.TimesS, span)
		control += float64(each.Control[versionNew]) / span
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

// sleep reports whether the time passed before the context ended.
func sleep(ctx context.Context, pause time.Duration) bool {
	select {
	case <-time.After(pause):
		return true
	case <-ctx.Done():
		return false
	}
}

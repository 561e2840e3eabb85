package burst

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"

	"firford/lib/platform"
)

const (
	countersPath = "/counters"
	readyPath    = "/ready"
	// Several hundred hosts send requests to one process at the same time.
	serverConcurrency = 8192
)

// originCounters is the part of the fake platform's counters that the
// measurement needs.
type originCounters struct {
	OriginBytes int64 `json:"origin_bytes"`
}

// publish uploads the weights of all versions to the origin.
func (driver *driver) publish(ctx context.Context) error {
	store := platform.New(driver.plan.Origin, "").Weights()
	for version, manifest := range driver.plan.Manifests {
		body := versionContent(version, driver.plan.Seed, manifest.Size)
		if err := store.Put(ctx, version, bytes.NewReader(body), manifest.Size); err != nil {
			return fmt.Errorf("publish %s: %w", version, err)
		}
	}
	return nil
}

func (driver *driver) originBytes() (int64, error) {
	code, body, err := driver.client.GetTimeout(nil, "http://"+driver.plan.Origin+countersPath, callTimeout)
	if err != nil {
		return 0, fmt.Errorf("read counters of the origin: %w", err)
	}
	if code != fasthttp.StatusOK {
		return 0, fmt.Errorf("read counters of the origin: status code %d", code)
	}
	var counters originCounters
	if err := json.Unmarshal(body, &counters); err != nil {
		return 0, fmt.Errorf("decode counters of the origin: %w", err)
	}
	return counters.OriginBytes, nil
}

// serve runs an HTTP server until the context ends.
func serve(ctx context.Context, address string, handler fasthttp.RequestHandler) error {
	server := &fasthttp.Server{Handler: handler, Concurrency: serverConcurrency, CloseOnShutdown: true}
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown() })
	defer stop()
	if err := server.ListenAndServe(address); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve %s: %w", address, err)
	}
	return nil
}

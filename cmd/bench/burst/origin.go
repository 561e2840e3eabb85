package burst

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"firford/lib/weights"
)

const (
	weightsPath  = "/weights/"
	countersPath = "/counters"
	readyPath    = "/ready"
)

type (
	// OriginCommand runs the weight origin.
	OriginCommand struct {
		Directory string `arg:"required" help:"where plan.json is"`
	}

	// origin sends ranges of weights in the order of the requests, at the rate of
	// its link.
	origin struct {
		limiter *rate.Limiter
		content map[string][]byte
		sent    atomic.Int64
	}
)

// Run serves until the context ends.
func (command *OriginCommand) Run(ctx context.Context) error {
	made, err := readPlan(command.Directory)
	if err != nil {
		return err
	}
	serving := &origin{
		limiter: rate.NewLimiter(rate.Limit(made.OriginRate), int(made.ChunkBytes)),
		content: map[string][]byte{},
	}
	for version, manifest := range made.Manifests {
		serving.content[version] = content(version, made.Seed, manifest.Size)
		if weights.Sum(serving.content[version][:made.ChunkBytes]) != manifest.Chunks[0] {
			return fmt.Errorf("content of %s differs from its manifest", version)
		}
	}
	return serve(ctx, made.Origin, serving.answer)
}

// serve answers HTTP requests until the context ends.
func serve(ctx context.Context, address string, handler fasthttp.RequestHandler) error {
	server := &fasthttp.Server{Handler: handler, Concurrency: 8192, CloseOnShutdown: true}
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown() })
	defer stop()
	if err := server.ListenAndServe(address); err != nil && ctx.Err() == nil {
		return fmt.Errorf("serve %s: %w", address, err)
	}
	return nil
}

func (serving *origin) answer(request *fasthttp.RequestCtx) {
	path := string(request.Path())
	switch name, isWeights := strings.CutPrefix(path, weightsPath); {
	case path == readyPath:
	case path == countersPath:
		_, _ = fmt.Fprintf(request, "%d", serving.sent.Load())
	case isWeights && serving.content[name] != nil:
		serving.send(request, serving.content[name])
	default:
		request.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (serving *origin) send(request *fasthttp.RequestCtx, whole []byte) {
	first, last, err := fasthttp.ParseByteRange(request.Request.Header.Peek(fasthttp.HeaderRange), len(whole))
	if err != nil {
		request.SetStatusCode(fasthttp.StatusRequestedRangeNotSatisfiable)
		return
	}
	part := whole[first : last+1]
	for left := len(part); left > 0; left -= serving.limiter.Burst() {
		if err := serving.limiter.WaitN(context.Background(), min(left, serving.limiter.Burst())); err != nil {
			request.SetStatusCode(fasthttp.StatusInternalServerError)
			return
		}
	}
	serving.sent.Add(int64(len(part)))
	request.SetStatusCode(fasthttp.StatusPartialContent)
	request.Response.Header.SetContentRange(first, last, len(whole))
	request.SetBody(part)
}

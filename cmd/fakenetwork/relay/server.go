package relay

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

type faultRequest struct {
	Route string `json:"route"`
	Fault string `json:"fault"`
}

// Handle answers POST /faults with {"route":...,"fault":...}, and GET /ready.
func (network *Network) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/ready":
		ctx.SetBodyString("ready\n")
	case "/faults":
		network.onFault(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (network *Network) onFault(ctx *fasthttp.RequestCtx) {
	var given faultRequest
	if err := json.Unmarshal(ctx.PostBody(), &given); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if err := network.SetFault(given.Route, given.Fault); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}

package relay

// Tests change the faults of the routes over HTTP while connections are open.

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

type faultRequest struct {
	Route string `json:"route"`
	Fault string `json:"fault"`
}

// Handle answers POST /faults, whose body is {"route":...,"fault":...}, and GET
// /ready.
func (network *Network) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/ready":
		ctx.SetBodyString("ready\n")
	case "/faults":
		network.handleFault(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (network *Network) handleFault(ctx *fasthttp.RequestCtx) {
	var request faultRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if err := network.SetFault(request.Route, request.Fault); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}

package links

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/sourcegraph/jsonrpc2"
)

type (
	callHandler         func(ctx context.Context, link *Link, params json.RawMessage) (any, error)
	notificationHandler func(link *Link, params json.RawMessage)

	// Router holds the handlers of a process. All of them must be registered
	// before the first link is opened, because the router is read without a lock
	// afterwards.
	Router struct {
		calls         map[string]callHandler
		notifications map[string]notificationHandler
		onLink        func(link *Link)
	}
)

// NewRouter returns a router without handlers.
func NewRouter() *Router {
	return &Router{
		calls:         map[string]callHandler{},
		notifications: map[string]notificationHandler{},
	}
}

// OnLink sets the function that is called for each link that a peer has opened
// and authenticated. The function must not block.
func (router *Router) OnLink(handler func(link *Link)) {
	router.onLink = handler
}

// OnCall registers the handler of a method. Each call runs in its own
// goroutine.
func OnCall[P, R any](router *Router, method string, handler func(ctx context.Context, link *Link, params P) (R, error)) {
	router.calls[method] = func(ctx context.Context, link *Link, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: fmt.Sprintf("parameters of %s: %v", method, err)}
		}
		return handler(ctx, link, params)
	}
}

// OnNotification registers the handler of a notification. The notifications of
// one link are handled in order in its read loop, so the handler must not
// block.
func OnNotification[P any](router *Router, method string, handler func(link *Link, params P)) {
	router.notifications[method] = func(link *Link, raw json.RawMessage) {
		var params P
		if json.Unmarshal(raw, &params) == nil {
			handler(link, params)
		}
	}
}

func (router *Router) handleCall(ctx context.Context, link *Link, method string, params json.RawMessage) (any, error) {
	handler, known := router.calls[method]
	if !known {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + method}
	}
	return handler(ctx, link, params)
}

func (router *Router) handleNotification(link *Link, method string, params json.RawMessage) {
	if handler, known := router.notifications[method]; known {
		handler(link, params)
	}
}

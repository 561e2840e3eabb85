// Package fetch sends single HTTP requests for the scripts, so that they depend
// on no program from outside this repository.
package fetch

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"firford/lib/hosts"
)

const timeout = 3 * time.Second

type (
	// Command sends a request and prints the body of the response.
	Command struct {
		URL  string `arg:"positional,required" help:"address, port and path, without a scheme"`
		Data string `arg:"--data" help:"body; the request is a POST with one and a GET without"`
	}

	// LeavingCommand sets on the platform whether a host of a fleet is leaving.
	LeavingCommand struct {
		Directory string `arg:"--directory,required" help:"the fleet's directory"`
		Platform  string `arg:"--platform,required" help:"address of the platform"`
		Host      string `arg:"--host,required" help:"name of the host"`
		Back      bool   `arg:"--back" help:"the host is not leaving any more"`
	}
)

// Run sends the request. It fails if there is no response in time or its status
// is not 200.
func (command *Command) Run(_ context.Context) error {
	method := fasthttp.MethodGet
	if command.Data != "" {
		method = fasthttp.MethodPost
	}
	body, err := send(method, command.URL, "", []byte(command.Data))
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(body)
	return err
}

// Run returns once the platform has accepted the change.
func (command *LeavingCommand) Run(_ context.Context) error {
	list, err := os.ReadFile(filepath.Join(command.Directory, "hosts.json"))
	if err != nil {
		return fmt.Errorf("read hosts: %w", err)
	}
	token, err := os.ReadFile(filepath.Join(command.Directory, "platform.token"))
	if err != nil {
		return fmt.Errorf("read token: %w", err)
	}
	var all []hosts.Host
	if err := json.Unmarshal(list, &all); err != nil {
		return fmt.Errorf("decode hosts.json: %w", err)
	}
	found := hosts.Select(all, func(host hosts.Host) bool { return host.Name == command.Host })
	if len(found) != 1 {
		return fmt.Errorf("host %q is not in the fleet", command.Host)
	}
	found[0].Leaving = !command.Back
	encoded, err := json.Marshal(found[0])
	if err != nil {
		return fmt.Errorf("encode host: %w", err)
	}
	target := command.Platform + "/membership/" + url.PathEscape(command.Host)
	_, err = send(fasthttp.MethodPut, target, strings.TrimSpace(string(token)), encoded)
	return err
}

// send returns the body of the response. An empty token sends no authorisation.
func send(method, target, token string, body []byte) ([]byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + target)
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	request.SetBodyRaw(body)
	if err := fasthttp.DoTimeout(request, response, timeout); err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, target, err)
	}
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return nil, fmt.Errorf("%s %s: status %d", method, target, status)
	}
	return append([]byte(nil), response.Body()...), nil
}

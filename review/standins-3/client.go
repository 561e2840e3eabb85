package main

// Clients send streams as the pages say: each attempt has an id of its own, and counts as
// served if all events came, in order, with the signature of an engine.

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	routeHost   = "pool.example"
	routePrefix = "/pool/"
	apiKey      = "key-of-the-first-tenant"
	tenantName  = "tenant-1"
	deadlineMS  = 6000
)

type (
	// result is how one attempt ended.
	result struct {
		id        string
		sentAt    time.Time
		endedAt   time.Time
		status    int
		isServed  bool
		text, why string
	}

	// results are those of all attempts. It is safe for concurrent use.
	results struct {
		mutex sync.Mutex
		all   []result
	}
)

func (known *results) add(next result) {
	known.mutex.Lock()
	defer known.mutex.Unlock()
	known.all = append(known.all, next)
}

// between returns how many requests were sent in the time, and how many of these were served.
func (known *results) between(from, to time.Time) (sent, served int) {
	known.mutex.Lock()
	defer known.mutex.Unlock()
	for _, each := range known.all {
		if each.sentAt.Before(from) || !each.sentAt.Before(to) {
			continue
		}
		sent++
		if each.isServed {
			served++
		}
	}
	return sent, served
}

// sendStream sends one request to the entry at the address.
func sendStream(client *http.Client, address, id string, written *record) result {
	ended := result{id: id, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadlineMS*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+routePrefix+"2f", strings.NewReader("prompt of "+id))
	if err != nil {
		panic(err)
	}
	request.Host = routeHost
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Model": modelName, "X-Token-Usage": "600,40", "X-Prefix-Hash": fmt.Sprintf("aa01:40,%s:560", id),
		"X-Deadline-Ms": fmt.Sprint(deadlineMS), "Authorization": "Bearer " + apiKey,
	} {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		ended.why = "no answer"
	} else {
		defer response.Body.Close()
		body, readErr := io.ReadAll(response.Body)
		ended.status, ended.text = response.StatusCode, string(body)
		wanted := ""
		for number := 1; number <= streamParts; number++ {
			wanted += fmt.Sprintf("id: %d\ndata: %s/%d\n\n", number, id, number)
		}
		ended.isServed = readErr == nil && response.StatusCode == http.StatusOK && string(body) == wanted && response.Header.Get("X-Response-Signature") == "signed-"+id
		switch {
		case ended.isServed:
			ended.why = "served"
		case response.StatusCode != http.StatusOK:
			ended.why = strings.TrimSpace(string(body))
		default:
			ended.why = "the stream is not complete"
		}
	}
	ended.endedAt = time.Now()
	written.line("client sent %s to %s, status %d after %d ms: %s", id, address, ended.status, ended.endedAt.Sub(ended.sentAt).Milliseconds(), ended.why)
	return ended
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true,
	}}
}

// load sends so many requests a second to the entries in turn until the context ends.
func load(ctx context.Context, addresses []string, perS int, known *results, written *record) *sync.WaitGroup {
	var running sync.WaitGroup
	client := newClient()
	running.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perS))
		defer ticker.Stop()
		for number := 0; ; number++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			running.Go(func() {
				known.add(sendStream(client, addresses[number%len(addresses)], fmt.Sprintf("%06x", number+1), written))
			})
		}
	})
	return &running
}

// Package prepare configures a new fleet as its operators would. It creates a
// deployment with its model or routing for each pool, and ten organisations, two
// of which have a larger weight.
package prepare

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	mathrand "math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"firford/cmd/bench/fleet"
	"firford/cmd/bench/operations"
	"firford/lib/operators/wire"
)

const (
	organisationCount      = 10
	largeOrganisationCount = 2
	largeWeight            = 4
	tokenBytes             = 16
	timeout                = time.Minute
)

// TokensFile is the name of the file with the name and the bearer token of each
// organisation, one organisation per line.
const TokensFile = "callers.tokens"

// Command configures the fleet whose files are in the directory.
type Command struct {
	Directory string   `arg:"--directory,required" help:"the fleet's directory"`
	Operators []string `arg:"--operators,required,separate" help:"operator addresses of the entries"`
	Policy    string   `arg:"--policy" default:"less_time" help:"less_time or fewer_origin_bytes"`
}

// Run creates all configuration objects, and writes the tokens of the
// organisations to TokensFile in the fleet's directory. Objects that already exist
// are left as they are.
func (command *Command) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client, err := operations.NewClient(command.Operators, filepath.Join(command.Directory, "operator.token"))
	if err != nil {
		return err
	}
	defer client.Close()
	objects, tokens := command.objects()
	if err := os.WriteFile(filepath.Join(command.Directory, TokensFile), []byte(tokens), 0o600); err != nil {
		return fmt.Errorf("write tokens: %w", err)
	}
	random := mathrand.New(mathrand.NewPCG(uint64(time.Now().UnixNano()), 0))
	for _, object := range objects {
		id := operations.NewRequestID(random)
		err := client.Retry(ctx, func(ctx context.Context, entry wire.OperatorsClient) error {
			_, err := entry.Create(ctx, &wire.CreateRequest{RequestId: id, Object: object})
			return err
		})
		if err != nil && status.Code(err) != codes.AlreadyExists {
			return fmt.Errorf("create %v: %w", object, err)
		}
	}
	return nil
}

func (command *Command) objects() (objects []*wire.Object, tokens string) {
	for _, pool := range fleet.ReferencePools() {
		objects = append(objects, command.poolObjects(pool)...)
	}
	var lines strings.Builder
	for number := range organisationCount {
		name := fmt.Sprintf("organisation-%02d", number+1)
		token := newToken()
		hash := sha256.Sum256([]byte(token))
		weight := 1.0
		if number < largeOrganisationCount {
			weight = largeWeight
		}
		objects = append(objects, &wire.Object{Value: &wire.Object_Organisation{Organisation: &wire.Organisation{
			Name: name, TokenHash: hex.EncodeToString(hash[:]), Weight: weight,
		}}})
		fmt.Fprintf(&lines, "%s %s\n", name, token)
	}
	return objects, lines.String()
}

func newToken() string {
	token := make([]byte, tokenBytes)
	_, _ = rand.Read(token) // crypto/rand never fails on supported systems.
	return hex.EncodeToString(token)
}

// poolObjects returns the configuration objects of one deployment. Plain services
// load no version; engines get their first version through a rollout.
func (command *Command) poolObjects(pool fleet.Pool) []*wire.Object {
	deployment := &wire.Deployment{
		Name: pool.Deployment, Type: pool.Type,
		Objectives: &wire.Objectives{AnsweredShare: 0.999, FirstTokenMs: 370, TokenGapMs: 34, ReplicasMs: 60_000},
	}
	if pool.Type != "engine" {
		deployment.Objectives = &wire.Objectives{AnsweredShare: 0.999}
		routing := &wire.Routing{Deployment: pool.Deployment, Spill: "anywhere"}
		return []*wire.Object{
			{Value: &wire.Object_Deployment{Deployment: deployment}},
			{Value: &wire.Object_Routing{Routing: routing}},
		}
	}
	deployment.Model = pool.Deployment + "-model"
	deployment.Policy = command.Policy
	deployment.OriginLinkShare = 0.5
	deployment.MinimumServingShare = 0.6
	deployment.CanaryHosts = 1
	return []*wire.Object{
		{Value: &wire.Object_Model{Model: &wire.Model{Name: deployment.Model}}},
		{Value: &wire.Object_Deployment{Deployment: deployment}},
	}
}

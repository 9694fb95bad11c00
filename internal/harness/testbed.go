package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	operatorv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/operator/v1"

	"connectrpc.com/connect"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/gen/flamingodoor/operator/v1/operatorv1connect"
	standinendpoint "flamingodoor.example/flamingodoor/internal/standin/endpoint"
)

// Names in the configuration of a scene.
const (
	ModelID      = "m70"
	ModelVersion = "v1"
	ServiceName  = "ledger"
	ClubID       = "kivuko"
	ClubKey      = "kivuko-key"
	OtherClubID  = "valach"
	OtherClubKey = "valach-key"

	pollInterval = 50 * time.Millisecond
	weightBytes  = 1 << 20
)

// DataCentreIDs are the data centres of a small scene.
var DataCentreIDs = []string{"dc-a", "dc-b", "dc-c"}

// Testbed is a running deployment with its configuration.
type Testbed struct {
	Deployment *Deployment
	Engines    []*Endpoint
	Ledger     *Endpoint
	Manifest   Manifest
}

// Topology is the size of a scene.
type Topology struct {
	Entries           int // spread over the data centres
	FabricDomains     int // fabric domains, spread over the data centres
	EnginesPerDomain  int
	HostsPerGroup     int
	Groups            int
	EngineArguments   []string
	ServiceArguments  []string
	PlatformArguments []string
	EntryArguments    []string
}

// SmallTopology has three entry hosts and two groups of two hosts.
var SmallTopology = Topology{Entries: 3, FabricDomains: 2, EnginesPerDomain: 2, HostsPerGroup: 2, Groups: 2}

// StartTestbed starts the processes of a scene and describes its configuration,
// which the caller applies.
func StartTestbed(ctx context.Context, deployment *Deployment, shape Topology) (*Testbed, error) {
	scene := &Testbed{Deployment: deployment}
	if err := deployment.StartPlatform(ctx, shape.PlatformArguments...); err != nil {
		return nil, err
	}
	for index := range shape.Entries {
		name := "entry-" + strconv.Itoa(index+1)
		if _, err := deployment.StartEntry(ctx, name, dataCentre(index), shape.EntryArguments...); err != nil {
			return nil, err
		}
	}
	for domain := range shape.FabricDomains {
		for index := range shape.EnginesPerDomain {
			name := fmt.Sprintf("engine-%d-%d", domain+1, index+1)
			engine, err := deployment.StartEngine(ctx, name, dataCentre(domain), "domain-"+strconv.Itoa(domain+1), shape.EngineArguments...)
			if err != nil {
				return nil, err
			}
			scene.Engines = append(scene.Engines, engine)
		}
	}
	var err error
	if scene.Ledger, err = deployment.StartService(ctx, "ledger-1", DataCentreIDs[0], ServiceName, shape.ServiceArguments...); err != nil {
		return nil, err
	}
	scene.describe(shape)
	return scene, nil
}

func dataCentre(index int) string {
	return DataCentreIDs[index%len(DataCentreIDs)]
}

func (s *Testbed) describe(shape Topology) {
	for _, name := range DataCentreIDs {
		s.Manifest.DataCentres = append(s.Manifest.DataCentres, DataCentre{DataCentre: name, Region: "default"})
	}
	s.Manifest.Models = []Model{{
		ModelID: ModelID, Versions: []string{ModelVersion},
		HostsPerGroup: shape.HostsPerGroup, AcceleratorsPerHost: 1, WeightBytesPerHost: weightBytes,
	}}
	grants := []Grant{{ModelID: ModelID}}
	s.Manifest.Clubs = []Club{
		{ClubID: ClubID, Keys: []string{ClubKey}, Accelerators: shape.HostsPerGroup * shape.Groups, Weight: 1, Models: grants, Services: []string{ServiceName}, MaxPriority: 9},
		{ClubID: OtherClubID, Keys: []string{OtherClubKey}, Weight: 1, Models: grants, MaxPriority: 9},
	}
	for _, engine := range s.Engines {
		s.Manifest.Endpoints = append(s.Manifest.Endpoints, engine.ManifestEntry())
	}
	s.Manifest.Endpoints = append(s.Manifest.Endpoints, s.Ledger.ManifestEntry())
	s.Manifest.GroupPlans = []GroupPlan{{
		PlanID: "kivuko-m70", ModelID: ModelID, Version: ModelVersion, ClubID: ClubID, Groups: shape.Groups,
	}}
}

// NewCaller returns a caller of the first club at an entry host.
func (s *Testbed) NewCaller(entry int) *Caller {
	return NewCaller("http://"+s.Deployment.Entries[entry].CallerAddress.String(), ClubKey, ModelID)
}

// WaitServing waits until every entry host sees every planned group serve.
func (s *Testbed) WaitServing(ctx context.Context) error {
	want := 0
	for _, plan := range s.Manifest.GroupPlans {
		want += plan.Groups
	}
	return WaitFor(ctx, fmt.Sprintf("%d groups to serve", want), func() bool {
		for _, entry := range s.Deployment.Entries {
			select {
			case <-entry.Exited():
				continue
			default:
			}
			if serving, err := entry.ServingGroups(ctx); err != nil || serving < want {
				return false
			}
		}
		return true
	})
}

// Status asks an entry host for its view of the deployment.
func (e *Entry) Status(ctx context.Context) (*operatorv1.StatusResponse, error) {
	client := operatorv1connect.NewQueryServiceClient(http.DefaultClient, "http://"+e.OperatorAddress.String())
	request := connect.NewRequest(&operatorv1.StatusRequest{})
	request.Header().Set("Authorization", "Bearer "+OperatorToken)
	response, err := client.Status(ctx, request)
	if err != nil {
		return nil, internalError(err)
	}
	return response.Msg, nil
}

// ServingGroups returns how many groups the entry host sees serve.
func (e *Entry) ServingGroups(ctx context.Context) (int, error) {
	status, err := e.Status(ctx)
	if err != nil {
		return 0, err
	}
	serving := 0
	for _, group := range status.GetGroups() {
		if group.GetServing() {
			serving++
		}
	}
	return serving, nil
}

// Statistics asks an endpoint stand-in for its own counts, past the proxy.
func (e *Endpoint) Statistics(ctx context.Context) (standinendpoint.Statistics, error) {
	var statistics standinendpoint.Statistics
	err := e.control(ctx, http.MethodGet, "/v1/statistics", &statistics)
	return statistics, err
}

// Runs returns how many calls a plain service ran.
func (e *Endpoint) Runs(ctx context.Context) (int, error) {
	statistics, err := e.Statistics(ctx)
	total := 0
	for _, runs := range statistics.RunsByBody {
		total += runs
	}
	return total, err
}

// Control posts to a control path of an endpoint stand-in, such as "cold".
func (e *Endpoint) Control(ctx context.Context, action string) error {
	return e.control(ctx, http.MethodPost, "/v1/control/"+action, nil)
}

func (e *Endpoint) control(ctx context.Context, method, path string, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.DirectAddress.String()+path, nil)
	if err != nil {
		return internalError(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return internalError(err)
	}
	defer func() { _ = response.Body.Close() }()
	if result == nil {
		return nil
	}
	if err := json.NewDecoder(response.Body).Decode(result); err != nil {
		return internalError(err)
	}
	return nil
}

// WaitFor polls until the condition holds or the context ends.
func WaitFor(ctx context.Context, what string, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return flamingodoor.Errorf(flamingodoor.CodeDeadlineExceeded, "waiting for %s: %v", what, ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

func formatSeconds(duration time.Duration) string {
	return strconv.FormatFloat(duration.Seconds(), 'f', 3, 64)
}

// OutOfServiceDataCentres lists the data centres that the configuration has out of
// service.
func (s *Testbed) OutOfServiceDataCentres(ctx context.Context) ([]string, error) {
	client := operatorv1connect.NewQueryServiceClient(http.DefaultClient, "http://"+s.Deployment.Entries[0].OperatorAddress.String())
	request := connect.NewRequest(&operatorv1.GetRequest{Kind: "data_centre"})
	request.Header().Set("Authorization", "Bearer "+OperatorToken)
	response, err := client.Get(ctx, request)
	if err != nil {
		return nil, internalError(err)
	}
	var out []string
	for _, object := range response.Msg.GetObjects() {
		if object.GetDataCentre().GetOut() {
			out = append(out, object.GetDataCentre().GetDataCentre())
		}
	}
	return out, nil
}

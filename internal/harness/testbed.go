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

// Names in the configuration of every testbed.
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

// DataCentreIDs are the data centres of every testbed.
var DataCentreIDs = []string{"dc-a", "dc-b", "dc-c"}

// Testbed is a running deployment of entry hosts, engines and one plain service,
// with the manifest that declares them.
type Testbed struct {
	Deployment *Deployment
	Engines    []*Endpoint
	Ledger     *Endpoint
	Manifest   Manifest
}

// Topology is the size of a testbed, with additional arguments of its programs.
type Topology struct {
	Entries           int // entry hosts, spread over the data centres
	FabricDomains     int // fabric domains, spread over the data centres
	EnginesPerDomain  int
	HostsPerGroup     int
	Groups            int
	EngineArguments   []string
	ServiceArguments  []string
	PlatformArguments []string
	EntryArguments    []string
}

// SmallTopology has three entry hosts and two groups of two engine hosts.
var SmallTopology = Topology{Entries: 3, FabricDomains: 2, EnginesPerDomain: 2, HostsPerGroup: 2, Groups: 2}

// StartTestbed starts the processes of a testbed and fills in its manifest, which
// the caller applies.
func StartTestbed(ctx context.Context, deployment *Deployment, topology Topology) (*Testbed, error) {
	testbed := &Testbed{Deployment: deployment}
	if err := deployment.StartPlatform(ctx, topology.PlatformArguments...); err != nil {
		return nil, err
	}
	for index := range topology.Entries {
		name := "entry-" + strconv.Itoa(index+1)
		if _, err := deployment.StartEntry(ctx, name, dataCentre(index), topology.EntryArguments...); err != nil {
			return nil, err
		}
	}
	for domain := range topology.FabricDomains {
		for index := range topology.EnginesPerDomain {
			name := fmt.Sprintf("engine-%d-%d", domain+1, index+1)
			engine, err := deployment.StartEngine(ctx, name, dataCentre(domain), "domain-"+strconv.Itoa(domain+1), topology.EngineArguments...)
			if err != nil {
				return nil, err
			}
			testbed.Engines = append(testbed.Engines, engine)
		}
	}
	var err error
	if testbed.Ledger, err = deployment.StartService(ctx, "ledger-1", DataCentreIDs[0], ServiceName, topology.ServiceArguments...); err != nil {
		return nil, err
	}
	testbed.declare(topology)
	return testbed, nil
}

func dataCentre(index int) string {
	return DataCentreIDs[index%len(DataCentreIDs)]
}

// declare fills in the manifest.
func (t *Testbed) declare(topology Topology) {
	for _, name := range DataCentreIDs {
		t.Manifest.DataCentres = append(t.Manifest.DataCentres, DataCentre{DataCentre: name, Region: "default"})
	}
	t.Manifest.Models = []Model{{
		ModelID: ModelID, Versions: []string{ModelVersion},
		HostsPerGroup: topology.HostsPerGroup, AcceleratorsPerHost: 1, WeightBytesPerHost: weightBytes,
	}}
	grants := []Grant{{ModelID: ModelID}}
	t.Manifest.Clubs = []Club{
		{ClubID: ClubID, Keys: []string{ClubKey}, Accelerators: topology.HostsPerGroup * topology.Groups, Weight: 1, Models: grants, Services: []string{ServiceName}, MaxPriority: 9},
		{ClubID: OtherClubID, Keys: []string{OtherClubKey}, Weight: 1, Models: grants, MaxPriority: 9},
	}
	for _, engine := range t.Engines {
		t.Manifest.Endpoints = append(t.Manifest.Endpoints, engine.ManifestEntry())
	}
	t.Manifest.Endpoints = append(t.Manifest.Endpoints, t.Ledger.ManifestEntry())
	t.Manifest.GroupPlans = []GroupPlan{{
		PlanID: "kivuko-m70", ModelID: ModelID, Version: ModelVersion, ClubID: ClubID, Groups: topology.Groups,
	}}
}

// NewCaller returns a caller that sends requests to an entry host with the API key
// of ClubID.
func (t *Testbed) NewCaller(entry int) *Caller {
	return NewCaller("http://"+t.Deployment.Entries[entry].CallerAddress.String(), ClubKey, ModelID)
}

// WaitServing waits until every running entry host reports as many serving groups
// as the manifest plans.
func (t *Testbed) WaitServing(ctx context.Context) error {
	want := 0
	for _, plan := range t.Manifest.GroupPlans {
		want += plan.Groups
	}
	return WaitFor(ctx, fmt.Sprintf("%d groups to serve", want), func() bool {
		for _, entry := range t.Deployment.Entries {
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

// Status returns the entry host's view of the deployment.
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

// ServingGroups returns how many groups the entry host reports as serving.
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

// Statistics returns the counters of an endpoint stand-in. It queries the
// stand-in directly, not through the proxy.
func (e *Endpoint) Statistics(ctx context.Context) (standinendpoint.Statistics, error) {
	var statistics standinendpoint.Statistics
	err := e.callDirect(ctx, http.MethodGet, "/v1/statistics", &statistics)
	return statistics, err
}

// Runs returns how many calls the stand-in of a plain service has run.
func (e *Endpoint) Runs(ctx context.Context) (int, error) {
	statistics, err := e.Statistics(ctx)
	total := 0
	for _, runs := range statistics.RunsByBody {
		total += runs
	}
	return total, err
}

// Control changes the state of an endpoint stand-in. The action is the last
// element of a control path, such as "cold".
func (e *Endpoint) Control(ctx context.Context, action string) error {
	return e.callDirect(ctx, http.MethodPost, "/v1/control/"+action, nil)
}

// callDirect sends a request to the stand-in, not through the proxy. It decodes the
// response into result unless result is nil, and ignores the HTTP status.
func (e *Endpoint) callDirect(ctx context.Context, method, path string, result any) error {
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

// WaitFor polls until the condition holds or the context ends. The description
// completes "waiting for" in the error.
func WaitFor(ctx context.Context, description string, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return flamingodoor.Errorf(flamingodoor.CodeDeadlineExceeded, "waiting for %s: %v", description, ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

func formatSeconds(duration time.Duration) string {
	return strconv.FormatFloat(duration.Seconds(), 'f', 3, 64)
}

// OutOfServiceDataCentres returns the data centres that the configuration marks
// as out of service.
func (t *Testbed) OutOfServiceDataCentres(ctx context.Context) ([]string, error) {
	client := operatorv1connect.NewQueryServiceClient(http.DefaultClient, "http://"+t.Deployment.Entries[0].OperatorAddress.String())
	request := connect.NewRequest(&operatorv1.GetRequest{Kind: "data_centre"})
	request.Header().Set("Authorization", "Bearer "+OperatorToken)
	response, err := client.Get(ctx, request)
	if err != nil {
		return nil, internalError(err)
	}
	var outOfService []string
	for _, object := range response.Msg.GetObjects() {
		if object.GetDataCentre().GetOut() {
			outOfService = append(outOfService, object.GetDataCentre().GetDataCentre())
		}
	}
	return outOfService, nil
}

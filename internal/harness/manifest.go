package harness

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/goccy/go-yaml"

	"flamingodoor.example/flamingodoor"
)

// Manifest is the configuration file that flamingodoorctl applies.
type Manifest struct {
	DataCentres []DataCentre       `yaml:"data_centres"`
	Models      []Model            `yaml:"models"`
	Clubs       []Club             `yaml:"clubs"`
	Endpoints   []ManifestEndpoint `yaml:"endpoints"`
	GroupPlans  []GroupPlan        `yaml:"group_plans,omitempty"`
}

// DataCentre declares a data centre in a manifest.
type DataCentre struct {
	DataCentre string `yaml:"data_centre"`
	Region     string `yaml:"region"`
}

// Model declares a model and the size of its groups in a manifest.
type Model struct {
	ModelID             string   `yaml:"model_id"`
	Versions            []string `yaml:"versions"`
	Adapters            []string `yaml:"adapters,omitempty"`
	HostsPerGroup       int      `yaml:"hosts_per_group"`
	AcceleratorsPerHost int      `yaml:"accelerators_per_host"`
	WeightBytesPerHost  uint64   `yaml:"weight_bytes_per_host"`
}

// Grant permits a club to call a model with the listed adapters.
type Grant struct {
	ModelID  string   `yaml:"model_id"`
	Adapters []string `yaml:"adapters,omitempty"`
}

// Club declares a club in a manifest: its API keys, its accelerators and what it
// may call.
type Club struct {
	ClubID       string   `yaml:"club_id"`
	Keys         []string `yaml:"keys"`
	Accelerators int      `yaml:"accelerators"`
	Weight       int      `yaml:"weight"`
	Models       []Grant  `yaml:"models,omitempty"`
	Services     []string `yaml:"services,omitempty"`
	MaxPriority  int      `yaml:"max_priority"`
}

// ManifestEndpoint declares an endpoint in a manifest.
type ManifestEndpoint struct {
	EndpointID      string   `yaml:"endpoint_id"`
	HostID          string   `yaml:"host_id"`
	DataCentre      string   `yaml:"data_centre"`
	FabricDomain    string   `yaml:"fabric_domain,omitempty"`
	Address         string   `yaml:"address"`
	Kind            string   `yaml:"kind"`
	ChecksFencing   bool     `yaml:"checks_fencing,omitempty"`
	Accelerators    int      `yaml:"accelerators,omitempty"`
	ColdAllowance   int      `yaml:"cold_allowance,omitempty"`
	WarmCapacity    int      `yaml:"warm_capacity,omitempty"`
	Service         string   `yaml:"service,omitempty"`
	IdempotentPaths []string `yaml:"idempotent_paths,omitempty"`
	Leaving         bool     `yaml:"leaving,omitempty"`
}

// GroupPlan declares in a manifest how many groups serve a model version for a
// club.
type GroupPlan struct {
	PlanID  string `yaml:"plan_id"`
	ModelID string `yaml:"model_id"`
	Version string `yaml:"version"`
	ClubID  string `yaml:"club_id"`
	Groups  int    `yaml:"groups"`
}

// Limits of the endpoints that ManifestEntry declares, in requests in flight.
const (
	coldAllowance = 2
	warmCapacity  = 32
)

// ManifestEntry returns the declaration of the endpoint for a manifest, with the
// address of its proxy.
func (e *Endpoint) ManifestEntry() ManifestEndpoint {
	declaration := ManifestEndpoint{
		EndpointID:    e.Name,
		HostID:        e.Name,
		DataCentre:    e.DataCentre,
		FabricDomain:  e.FabricDomain,
		Address:       e.Proxy.Address().String(),
		Kind:          "engine",
		ChecksFencing: e.ChecksFencing,
		Accelerators:  1,
		ColdAllowance: coldAllowance,
		WarmCapacity:  warmCapacity,
	}
	if e.Service != "" {
		declaration.Kind = "service"
		declaration.Service = e.Service
		declaration.Accelerators = 0
		declaration.IdempotentPaths = []string{"/balance"}
	}
	return declaration
}

// Apply writes the manifest to a temporary file, applies it with flamingodoorctl
// and returns the output.
func (d *Deployment) Apply(ctx context.Context, manifest Manifest) (string, error) {
	text, err := yaml.Marshal(manifest)
	if err != nil {
		return "", flamingodoor.NewError(flamingodoor.CodeInternal, flamingodoor.RunStateNotRun, err)
	}
	file, err := os.CreateTemp("", "manifest-*.yaml")
	if err != nil {
		return "", flamingodoor.NewError(flamingodoor.CodeInternal, flamingodoor.RunStateNotRun, err)
	}
	defer func() { _ = os.Remove(file.Name()) }()
	if _, err := file.Write(text); err != nil {
		return "", flamingodoor.NewError(flamingodoor.CodeInternal, flamingodoor.RunStateNotRun, err)
	}
	_ = file.Close()
	return d.RunControl(ctx, "apply", "-f", file.Name())
}

// RunControl runs flamingodoorctl with the addresses of all entry hosts and
// returns its output.
func (d *Deployment) RunControl(ctx context.Context, arguments ...string) (string, error) {
	servers := make([]string, 0, len(d.Entries))
	for _, entry := range d.Entries {
		servers = append(servers, "http://"+entry.OperatorAddress.String())
	}
	arguments = append([]string{
		"--server=" + strings.Join(servers, ","), "--token=" + OperatorToken, "--author=harness",
	}, arguments...)
	command := exec.CommandContext(ctx, filepath.Join(d.ProgramDirectory, "flamingodoorctl"), arguments...) //nolint:gosec // The caller built the program at this path.
	var output bytes.Buffer
	command.Stdout = &output
	command.Stderr = &output
	if err := command.Run(); err != nil {
		return output.String(), flamingodoor.Errorf(flamingodoor.CodeInternal, "flamingodoorctl %s: %v\n%s",
			strings.Join(arguments, " "), err, output.String())
	}
	return output.String(), nil
}

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

// Manifest is the file that flamingodoorctl applies.
type Manifest struct {
	DataCentres []DataCentre       `yaml:"data_centres"`
	Models      []Model            `yaml:"models"`
	Clubs       []Club             `yaml:"clubs"`
	Endpoints   []ManifestEndpoint `yaml:"endpoints"`
	GroupPlans  []GroupPlan        `yaml:"group_plans,omitempty"`
}

// DataCentre is a data centre of a manifest.
type DataCentre struct {
	DataCentre string `yaml:"data_centre"`
	Region     string `yaml:"region"`
}

// Model is a model of a manifest.
type Model struct {
	ModelID             string   `yaml:"model_id"`
	Versions            []string `yaml:"versions"`
	Adapters            []string `yaml:"adapters,omitempty"`
	HostsPerGroup       int      `yaml:"hosts_per_group"`
	AcceleratorsPerHost int      `yaml:"accelerators_per_host"`
	WeightBytesPerHost  uint64   `yaml:"weight_bytes_per_host"`
}

// Grant lets a club call a model.
type Grant struct {
	ModelID  string   `yaml:"model_id"`
	Adapters []string `yaml:"adapters,omitempty"`
}

// Club is a club of a manifest.
type Club struct {
	ClubID       string   `yaml:"club_id"`
	Keys         []string `yaml:"keys"`
	Accelerators int      `yaml:"accelerators"`
	Weight       int      `yaml:"weight"`
	Models       []Grant  `yaml:"models,omitempty"`
	Services     []string `yaml:"services,omitempty"`
	MaxPriority  int      `yaml:"max_priority"`
}

// ManifestEndpoint is an endpoint of a manifest.
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

// GroupPlan is a group plan of a manifest.
type GroupPlan struct {
	PlanID  string `yaml:"plan_id"`
	ModelID string `yaml:"model_id"`
	Version string `yaml:"version"`
	ClubID  string `yaml:"club_id"`
	Groups  int    `yaml:"groups"`
}

// Defaults of the endpoints that ManifestEntry returns.
const (
	coldAllowance = 2
	warmCapacity  = 32
)

// ManifestEntry lists the endpoint for a manifest, under its proxy's address.
func (e *Endpoint) ManifestEntry() ManifestEndpoint {
	described := ManifestEndpoint{
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
		described.Kind = "service"
		described.Service = e.Service
		described.Accelerators = 0
		described.IdempotentPaths = []string{"/balance"}
	}
	return described
}

// Apply writes the manifest to a file and applies it with flamingodoorctl.
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

// RunControl runs flamingodoorctl against the entry hosts.
func (d *Deployment) RunControl(ctx context.Context, arguments ...string) (string, error) {
	servers := make([]string, 0, len(d.Entries))
	for _, entry := range d.Entries {
		servers = append(servers, "http://"+entry.OperatorAddress.String())
	}
	arguments = append([]string{
		"--server=" + strings.Join(servers, ","), "--token=" + OperatorToken, "--author=harness",
	}, arguments...)
	command := exec.CommandContext(ctx, filepath.Join(d.ProgramDirectory, "flamingodoorctl"), arguments...) //nolint:gosec // Own program.
	var output bytes.Buffer
	command.Stdout = &output
	command.Stderr = &output
	if err := command.Run(); err != nil {
		return output.String(), flamingodoor.Errorf(flamingodoor.CodeInternal, "flamingodoorctl %s: %v\n%s",
			strings.Join(arguments, " "), err, output.String())
	}
	return output.String(), nil
}

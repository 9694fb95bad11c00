// Package manifest parses the YAML file given to flamingodoorctl apply and
// computes the changes from the current configuration to the declared one.
package manifest

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"

	"github.com/goccy/go-yaml"

	"flamingodoor.example/flamingodoor"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
)

// Manifest is the configuration that a file declares.
type Manifest struct {
	clubs       []*recordv1.Club
	models      []*recordv1.Model
	endpoints   []*recordv1.Endpoint
	dataCentres []declaredDataCentre
	groupPlans  []*recordv1.GroupPlan
}

// declaredDataCentre is a data centre in the file; out and reason are nil unless
// the file sets them.
type declaredDataCentre struct {
	object *recordv1.DataCentre
	out    *bool
	reason *string
}

// Parse parses the content of a file. Its errors have CodeInvalidConfiguration.
// Those about the syntax and about unknown or mistyped fields contain the line
// and column.
func Parse(data []byte) (*Manifest, error) {
	var content file
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := decoder.Decode(&content); err != nil && !errors.Is(err, io.EOF) {
		return nil, syntaxError(err)
	}
	if err := decoder.Decode(&file{}); !errors.Is(err, io.EOF) {
		return nil, flamingodoor.Errorf(flamingodoor.CodeInvalidConfiguration, "the file has more than one document")
	}
	m := &Manifest{}
	for _, declared := range content.Clubs {
		m.clubs = append(m.clubs, declared.toRecord())
	}
	for _, declared := range content.Models {
		m.models = append(m.models, declared.toRecord())
	}
	for _, declared := range content.DataCentres {
		m.dataCentres = append(m.dataCentres, declaredDataCentre{
			object: &recordv1.DataCentre{DataCentre: declared.DataCentre, Region: declared.Region},
			out:    declared.Out,
			reason: declared.Reason,
		})
	}
	for _, declared := range content.GroupPlans {
		m.groupPlans = append(m.groupPlans, declared.toRecord())
	}
	for _, declared := range content.Endpoints {
		m.endpoints = append(m.endpoints, declared.toRecord())
	}
	return m, m.checkNames()
}

// syntaxError returns the parser's error as text. The position, if the error has
// one, is in the form [line:column].
func syntaxError(err error) error {
	return flamingodoor.Errorf(flamingodoor.CodeInvalidConfiguration, "%s", yaml.FormatError(err, false, false))
}

// checkNames returns an error if an object has no name or is declared twice.
// The second declaration would silently replace the first.
func (m *Manifest) checkNames() error {
	seen := make(map[string]bool)
	for _, object := range m.objects(nil) {
		key := KindOf(object) + " " + NameOf(object)
		switch {
		case NameOf(object) == "":
			return flamingodoor.Errorf(flamingodoor.CodeInvalidConfiguration, "a %s has no name", KindOf(object))
		case seen[key]:
			return flamingodoor.Errorf(flamingodoor.CodeInvalidConfiguration, "%s is declared twice", key)
		}
		seen[key] = true
	}
	return nil
}

// HashKey returns the SHA-256 hash of a caller's key in hexadecimal, which the
// configuration holds in place of the key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// file is the YAML form of the messages of package recordv1 that a manifest can
// declare. Unlike the messages, it may contain keys in plain text.
type file struct {
	Clubs       []club       `yaml:"clubs"`
	Models      []model      `yaml:"models"`
	Endpoints   []endpoint   `yaml:"endpoints"`
	DataCentres []dataCentre `yaml:"data_centres"`
	GroupPlans  []groupPlan  `yaml:"group_plans"`
}

type club struct {
	ClubID       string       `yaml:"club_id"`
	DisplayName  string       `yaml:"display_name"`
	Keys         []string     `yaml:"keys"`
	KeyHashes    []string     `yaml:"key_hashes"`
	Accelerators uint32       `yaml:"accelerators"`
	Weight       uint32       `yaml:"weight"`
	Models       []modelGrant `yaml:"models"`
	Services     []string     `yaml:"services"`
	MaxPriority  uint32       `yaml:"max_priority"`
}

type modelGrant struct {
	ModelID  string   `yaml:"model_id"`
	Adapters []string `yaml:"adapters"`
	Versions []string `yaml:"versions"`
}

type model struct {
	ModelID             string   `yaml:"model_id"`
	Versions            []string `yaml:"versions"`
	Adapters            []string `yaml:"adapters"`
	HostsPerGroup       uint32   `yaml:"hosts_per_group"`
	AcceleratorsPerHost uint32   `yaml:"accelerators_per_host"`
	WeightBytesPerHost  uint64   `yaml:"weight_bytes_per_host"`
}

type endpoint struct {
	EndpointID      string                    `yaml:"endpoint_id"`
	HostID          string                    `yaml:"host_id"`
	DataCentre      string                    `yaml:"data_centre"`
	FabricDomain    string                    `yaml:"fabric_domain"`
	Address         string                    `yaml:"address"`
	Kind            flamingodoor.EndpointKind `yaml:"kind"`
	ChecksFencing   bool                      `yaml:"checks_fencing"`
	Accelerators    uint32                    `yaml:"accelerators"`
	ColdAllowance   uint32                    `yaml:"cold_allowance"`
	WarmCapacity    uint32                    `yaml:"warm_capacity"`
	Service         string                    `yaml:"service"`
	IdempotentPaths []string                  `yaml:"idempotent_paths"`
	Leaving         bool                      `yaml:"leaving"`
}

type dataCentre struct {
	DataCentre string  `yaml:"data_centre"`
	Region     string  `yaml:"region"`
	Out        *bool   `yaml:"out"`
	Reason     *string `yaml:"reason"`
}

type groupPlan struct {
	PlanID  string `yaml:"plan_id"`
	ModelID string `yaml:"model_id"`
	Version string `yaml:"version"`
	ClubID  string `yaml:"club_id"`
	Groups  uint32 `yaml:"groups"`
}

func (c club) toRecord() *recordv1.Club {
	hashes := make([]string, 0, len(c.KeyHashes)+len(c.Keys))
	hashes = append(hashes, c.KeyHashes...)
	for _, key := range c.Keys {
		hashes = append(hashes, HashKey(key))
	}
	grants := make([]*recordv1.ModelGrant, 0, len(c.Models))
	for _, grant := range c.Models {
		grants = append(grants, &recordv1.ModelGrant{
			ModelId: grant.ModelID, Adapters: grant.Adapters, Versions: grant.Versions,
		})
	}
	return &recordv1.Club{
		ClubId:       c.ClubID,
		DisplayName:  c.DisplayName,
		KeyHashes:    hashes,
		Accelerators: c.Accelerators,
		Weight:       c.Weight,
		Models:       grants,
		Services:     c.Services,
		MaxPriority:  c.MaxPriority,
	}
}

func (m model) toRecord() *recordv1.Model {
	return &recordv1.Model{
		ModelId:             m.ModelID,
		Versions:            m.Versions,
		Adapters:            m.Adapters,
		HostsPerGroup:       m.HostsPerGroup,
		AcceleratorsPerHost: m.AcceleratorsPerHost,
		WeightBytesPerHost:  m.WeightBytesPerHost,
	}
}

func (e endpoint) toRecord() *recordv1.Endpoint {
	kind := recordv1.EndpointKind_ENDPOINT_KIND_UNSPECIFIED
	switch e.Kind {
	case flamingodoor.EndpointKindEngine:
		kind = recordv1.EndpointKind_ENDPOINT_KIND_ENGINE
	case flamingodoor.EndpointKindService:
		kind = recordv1.EndpointKind_ENDPOINT_KIND_SERVICE
	}
	return &recordv1.Endpoint{
		EndpointId:      e.EndpointID,
		HostId:          e.HostID,
		DataCentre:      e.DataCentre,
		FabricDomain:    e.FabricDomain,
		Address:         e.Address,
		Kind:            kind,
		ChecksFencing:   e.ChecksFencing,
		Accelerators:    e.Accelerators,
		ColdAllowance:   e.ColdAllowance,
		WarmCapacity:    e.WarmCapacity,
		Service:         e.Service,
		IdempotentPaths: e.IdempotentPaths,
		Leaving:         e.Leaving,
	}
}

func (p groupPlan) toRecord() *recordv1.GroupPlan {
	return &recordv1.GroupPlan{
		PlanId: p.PlanID, ModelId: p.ModelID, Version: p.Version, ClubId: p.ClubID, Groups: p.Groups,
	}
}

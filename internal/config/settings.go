// Package config reads the settings of flamingodoord from flags and environment
// variables and validates them.
package config

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"flamingodoor.example/flamingodoor"
)

// Settings are the flags and environment variables of flamingodoord.
type Settings struct {
	HostID     string `long:"host-id" env:"FLAMINGODOOR_HOST_ID" description:"identifier of this entry host, unique for each start"`
	DataCentre string `long:"data-centre" env:"FLAMINGODOOR_DATA_CENTRE" description:"data centre of this entry host"`
	Region     string `long:"region" env:"FLAMINGODOOR_REGION" default:"default" description:"region of this entry host"`

	Listen         string `long:"listen" env:"FLAMINGODOOR_LISTEN" default:"127.0.0.1:8080" description:"IP address and port for callers"`
	PeerListen     string `long:"peer-listen" env:"FLAMINGODOOR_PEER_LISTEN" default:"127.0.0.1:8081" description:"IP address and port for other entry hosts"`
	PeerAdvertise  string `long:"peer-advertise" env:"FLAMINGODOOR_PEER_ADVERTISE" description:"IP address and port that other entry hosts connect to (default: the peer listener)"`
	OperatorListen string `long:"operator-listen" env:"FLAMINGODOOR_OPERATOR_LISTEN" default:"127.0.0.1:8082" description:"IP address and port for operators"`
	MetricsListen  string `long:"metrics-listen" env:"FLAMINGODOOR_METRICS_LISTEN" default:"127.0.0.1:8083" description:"IP address and port for metrics, health and readiness"`
	Platform       string `long:"platform" env:"FLAMINGODOOR_PLATFORM" description:"IP address and port of the platform's services"`

	PeerSeeds []string `long:"peer-seed" env:"FLAMINGODOOR_PEER_SEEDS" env-delim:"," description:"peer address of another entry host, asked for the configuration at a start while the log is down; may be repeated"`

	OperatorToken string `long:"operator-token" env:"FLAMINGODOOR_OPERATOR_TOKEN" default-mask:"-" description:"bearer token that operators must present"`

	CallerCertificate   string `long:"caller-cert" env:"FLAMINGODOOR_CALLER_CERT" description:"PEM certificate for callers; enables TLS"`
	CallerKey           string `long:"caller-key" env:"FLAMINGODOOR_CALLER_KEY" description:"PEM key for callers"`
	OperatorCertificate string `long:"operator-cert" env:"FLAMINGODOOR_OPERATOR_CERT" description:"PEM certificate for operators; enables TLS"`
	OperatorKey         string `long:"operator-key" env:"FLAMINGODOOR_OPERATOR_KEY" description:"PEM key for operators"`
	PeerCertificate     string `long:"peer-cert" env:"FLAMINGODOOR_PEER_CERT" description:"PEM certificate between entry hosts; enables mutual TLS"`
	PeerKey             string `long:"peer-key" env:"FLAMINGODOOR_PEER_KEY" description:"PEM key between entry hosts"`
	PeerCA              string `long:"peer-ca" env:"FLAMINGODOOR_PEER_CA" description:"PEM certificates that sign the entry hosts' certificates"`

	MaxBodyBytes    int64         `long:"max-body-bytes" env:"FLAMINGODOOR_MAX_BODY_BYTES" default:"1048576" description:"largest request body of a caller"`
	MaxHeaderBytes  int           `long:"max-header-bytes" env:"FLAMINGODOOR_MAX_HEADER_BYTES" default:"16384" description:"largest request header of a caller"`
	MaxConnections  int           `long:"max-connections" env:"FLAMINGODOOR_MAX_CONNECTIONS" default:"4096" description:"open connections of callers"`
	StopDelay       time.Duration `long:"stop-delay" env:"FLAMINGODOOR_STOP_DELAY" default:"3s" description:"time for which a stopping host that is no longer ready still takes requests"`
	StopTimeout     time.Duration `long:"stop-timeout" env:"FLAMINGODOOR_STOP_TIMEOUT" default:"10m" description:"longest wait for requests in flight at a planned stop"`
	SummaryInterval time.Duration `long:"summary-interval" env:"FLAMINGODOOR_SUMMARY_INTERVAL" default:"60s" description:"time between service-level summaries appended to the log; a host that dies loses at most one"`
	LogLevel        string        `long:"log-level" env:"FLAMINGODOOR_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"lowest level that is logged"`

	Version bool `long:"version" description:"print the version and exit"`

	Addresses Addresses `no-flag:"true"`
}

// Addresses are the parsed addresses of the settings.
type Addresses struct {
	Listen         netip.AddrPort
	PeerListen     netip.AddrPort
	PeerAdvertise  netip.AddrPort // the zero value stands for the address of the peer listener
	OperatorListen netip.AddrPort
	MetricsListen  netip.AddrPort
	Platform       netip.AddrPort
	Seeds          []netip.AddrPort
}

// Bounds of the settings.
const (
	minBodyBytes   = 1 << 10
	maxBodyBytes   = 64 << 20
	minHeaderBytes = 1 << 10
	maxHeaderBytes = 1 << 20
	maxStopTimeout = 24 * time.Hour

	minSummaryInterval = time.Second
	maxSummaryInterval = time.Hour
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)

// Parse reads flags and environment variables. The error lists every invalid
// setting by the name of its flag. For --help the error carries the help text;
// see IsHelp.
func Parse(arguments []string) (*Settings, error) {
	settings := &Settings{}
	parser := flags.NewParser(settings, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "flamingodoord"
	parser.LongDescription = "The entry host daemon of flamingodoor: it serves callers and operators, " +
		"exchanges state with the other entry hosts and plans replica groups."
	rest, err := parser.ParseArgs(arguments)
	if err != nil {
		return nil, flamingodoor.NewError(flamingodoor.CodeInvalidConfiguration, flamingodoor.RunStateNotRun, err)
	}
	if len(rest) > 0 {
		return nil, flamingodoor.Errorf(flamingodoor.CodeInvalidConfiguration, "unexpected arguments: %s", strings.Join(rest, " "))
	}
	if settings.Version {
		return settings, nil
	}
	return settings, settings.validate()
}

// IsHelp reports whether the error carries the help text.
func IsHelp(err error) bool {
	var flagsError *flags.Error
	return errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp
}

// validate parses the addresses and checks every setting.
func (s *Settings) validate() error {
	v := &validator{}
	v.checkName("host-id", s.HostID)
	v.checkName("data-centre", s.DataCentre)
	v.checkName("region", s.Region)
	s.Addresses.Listen = v.parseAddress("listen", s.Listen)
	s.Addresses.PeerListen = v.parseAddress("peer-listen", s.PeerListen)
	s.Addresses.OperatorListen = v.parseAddress("operator-listen", s.OperatorListen)
	s.Addresses.MetricsListen = v.parseAddress("metrics-listen", s.MetricsListen)
	s.Addresses.Platform = v.parseAddress("platform", s.Platform)
	if s.PeerAdvertise != "" {
		s.Addresses.PeerAdvertise = v.parseAddress("peer-advertise", s.PeerAdvertise)
	}
	for _, seed := range s.PeerSeeds {
		s.Addresses.Seeds = append(s.Addresses.Seeds, v.parseAddress("peer-seed", seed))
	}
	v.checkPair("caller", s.CallerCertificate, s.CallerKey)
	v.checkPair("operator", s.OperatorCertificate, s.OperatorKey)
	v.checkPair("peer", s.PeerCertificate, s.PeerKey)
	if (s.PeerCertificate == "") != (s.PeerCA == "") {
		v.addError("peer-ca", "must be set together with peer-cert")
	}
	for _, file := range []struct{ flag, path string }{
		{"caller-cert", s.CallerCertificate},
		{"caller-key", s.CallerKey},
		{"operator-cert", s.OperatorCertificate},
		{"operator-key", s.OperatorKey},
		{"peer-cert", s.PeerCertificate},
		{"peer-key", s.PeerKey},
		{"peer-ca", s.PeerCA},
	} {
		v.checkReadable(file.flag, file.path)
	}
	v.checkRange("max-body-bytes", s.MaxBodyBytes, minBodyBytes, maxBodyBytes)
	v.checkRange("max-header-bytes", int64(s.MaxHeaderBytes), minHeaderBytes, maxHeaderBytes)
	v.checkRange("max-connections", int64(s.MaxConnections), 1, 1<<20)
	if s.StopTimeout < 0 || s.StopTimeout > maxStopTimeout {
		v.addError("stop-timeout", fmt.Sprintf("must be between 0s and %s", maxStopTimeout))
	}
	if s.StopDelay < 0 || s.StopDelay > s.StopTimeout {
		v.addError("stop-delay", "must be between 0s and stop-timeout")
	}
	if s.SummaryInterval < minSummaryInterval || s.SummaryInterval > maxSummaryInterval {
		v.addError("summary-interval", fmt.Sprintf("must be between %s and %s", minSummaryInterval, maxSummaryInterval))
	}
	if s.OperatorToken == "" && s.Addresses.OperatorListen.IsValid() && !s.Addresses.OperatorListen.Addr().IsLoopback() {
		v.addError("operator-token", "must be set unless operator-listen is a loopback address")
	}
	return v.err()
}

// validator collects the errors of all settings, so that one run reports every
// invalid setting.
type validator struct {
	errors []string
}

func (v *validator) addError(flag, text string) {
	v.errors = append(v.errors, "--"+flag+": "+text)
}

func (v *validator) checkName(flag, value string) {
	if !namePattern.MatchString(value) {
		v.addError(flag, fmt.Sprintf("%q must have 1 to 64 characters from a-z, 0-9, '.', '_' and '-', the first one a letter or a digit", value))
	}
}

func (v *validator) parseAddress(flag, value string) netip.AddrPort {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		v.addError(flag, fmt.Sprintf("%q is not an IP address and port", value))
	}
	return address
}

func (v *validator) checkPair(prefix, certificate, key string) {
	if (certificate == "") != (key == "") {
		v.addError(prefix+"-cert", fmt.Sprintf("must be set together with %s-key", prefix))
	}
}

func (v *validator) checkReadable(flag, path string) {
	if path == "" {
		return
	}
	if _, err := os.Stat(path); err != nil {
		v.addError(flag, fmt.Sprintf("file is not readable: %v", err))
	}
}

func (v *validator) checkRange(flag string, value, minimum, maximum int64) {
	if value < minimum || value > maximum {
		v.addError(flag, fmt.Sprintf("must be between %d and %d", minimum, maximum))
	}
}

func (v *validator) err() error {
	if len(v.errors) == 0 {
		return nil
	}
	return flamingodoor.Errorf(flamingodoor.CodeInvalidConfiguration, "%d invalid settings:\n  %s",
		len(v.errors), strings.Join(v.errors, "\n  "))
}

package reach

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/singleflight"

	"flamingodoor.example/flamingodoor"
)

const (
	// memberProbeTimeout bounds both probes of a member of a silent group and the
	// answers of witnesses. It is several times the delay between data centres.
	memberProbeTimeout = 320 * time.Millisecond
	// secondProbeDelay separates the two probes. It is short, so that the
	// second has nearly as much time as the first.
	secondProbeDelay = 100 * time.Millisecond
	probeAttempts    = 2
	// closingTime separates two attempts to find out whether a process has ended.
	closingTime = 50 * time.Millisecond
	// referenceCount is how many other instances a witness probes, to know whether
	// its own paths are sound.
	referenceCount = 2
)

// Report asks an instance for its report. That of an instance without one is empty if
// a connection to it can be opened.
type Report func(ctx context.Context, instance flamingodoor.Instance) (flamingodoor.InstanceReport, error)

// Confirm asks other hosts whether an instance that does not answer this one has
// failed, rather than the path to it.
type Confirm func(ctx context.Context, instance flamingodoor.Instance) bool

// Prober finds out whether instances answer this host and others. It is safe for
// concurrent use.
type Prober struct {
	paths       *Paths
	report      Report
	confirm     Confirm
	dataCentre  string // of this host
	testimonies singleflight.Group
	logger      log.Logger
}

// NewProber returns a prober for a host in a data centre, which records in paths what
// it sees.
func NewProber(paths *Paths, report Report, confirm Confirm, dataCentre string, logger log.Logger) *Prober {
	return &Prober{paths: paths, report: report, confirm: confirm, dataCentre: dataCentre, logger: logger}
}

// Finding is what an examination found of an instance.
type Finding struct {
	Instance flamingodoor.Instance
	Report   flamingodoor.InstanceReport
	Answers  bool // this host
	Lost     bool // witnesses confirm that it has failed
}

// Testimony is what a host states about an instance that another one does not reach.
type Testimony struct {
	Answers bool
	Sound   bool // the host's paths to other instances work
}

// Examine probes an instance. Witnesses are asked together with the second probe, or
// at once if the first one fails. A stranded host finds nothing lost.
func (p *Prober) Examine(ctx context.Context, instance flamingodoor.Instance) Finding {
	ctx, cancel := context.WithTimeout(ctx, memberProbeTimeout)
	defer cancel()
	confirmed := make(chan bool, 1)
	ask := sync.OnceFunc(func() { confirmed <- p.confirm(ctx, instance) })
	timer := time.AfterFunc(secondProbeDelay, ask)
	defer timer.Stop()
	report, answers := p.Probe(ctx, instance)
	if answers {
		return Finding{Instance: instance, Report: report, Answers: true}
	}
	go ask()
	return Finding{Instance: instance, Lost: <-confirmed && !p.paths.Stranded()}
}

// Probe asks an instance for its report, and asks again on a new connection
// while the first answer is still awaited, so that one lost packet does not
// count as a loss. It reports whether the process that registered the instance
// answered, rather than another process at its address.
func (p *Prober) Probe(ctx context.Context, instance flamingodoor.Instance) (report flamingodoor.InstanceReport, answers bool) {
	ctx, cancel := context.WithTimeout(ctx, memberProbeTimeout)
	defer cancel()
	type answer struct {
		report flamingodoor.InstanceReport
		err    error
	}
	received := make(chan answer, probeAttempts)
	requestReport := func() {
		report, err := p.requestReport(ctx, instance)
		received <- answer{report, err}
	}
	go requestReport()
	timer := time.NewTimer(secondProbeDelay)
	defer timer.Stop()
	for waiting := 1; waiting > 0; {
		select {
		case <-timer.C:
			waiting++
			go requestReport()
		case latest := <-received:
			waiting--
			if latest.err == nil {
				return latest.report, sameProcess(latest.report, instance)
			}
			_ = level.Info(p.logger).Log("event", "member_silent", "instance", instance.ID, "err", latest.err)
		}
	}
	return flamingodoor.InstanceReport{}, false
}

// requestReport asks an instance for its report, and records whether this host has a
// path to it.
func (p *Prober) requestReport(ctx context.Context, instance flamingodoor.Instance) (flamingodoor.InstanceReport, error) {
	report, err := p.report(ctx, instance)
	switch {
	case err == nil:
		p.paths.Heard(instance, p.paths.now())
	case !errors.Is(ctx.Err(), context.Canceled):
		p.paths.Failed(instance, p.paths.now())
	}
	return report, err
}

func sameProcess(report flamingodoor.InstanceReport, instance flamingodoor.Instance) bool {
	return report.StartedAt.IsZero() || instance.StartedAt.IsZero() || report.StartedAt.Equal(instance.StartedAt)
}

// HasEnded reports whether the process of an instance has ended: its port is
// closed, or another process answers there. Silence does not show that. The port
// may take a moment to close. A partition can refuse connections as well, so
// witnesses have to confirm that.
func (p *Prober) HasEnded(ctx context.Context, instance flamingodoor.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, memberProbeTimeout)
	defer cancel()
	for range probeAttempts {
		report, err := p.requestReport(ctx, instance)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return p.confirm(ctx, instance) && !p.paths.Stranded()
		case err == nil:
			return !sameProcess(report, instance)
		}
		pause(ctx, closingTime)
	}
	return false
}

func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Testify answers a host that does not reach an instance. Questions that arrive at
// the same time share the probes, which go on if one of the hosts has its answer from
// elsewhere.
func (p *Prober) Testify(ctx context.Context, instance flamingodoor.Instance) Testimony {
	deadline, ok := ctx.Deadline()
	if limit := time.Now().Add(memberProbeTimeout); !ok || limit.Before(deadline) {
		deadline = limit
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	result, _, _ := p.testimonies.Do(ProcessKey(instance), func() (any, error) {
		return p.examinePath(ctx, instance), nil
	})
	testimony, _ := result.(Testimony)
	return testimony
}

// ProcessKey returns a name for one process of an instance.
func ProcessKey(instance flamingodoor.Instance) string {
	return fmt.Sprint(instance.ID, " ", instance.StartedAt.UnixMilli())
}

// examinePath probes an instance, and others at the same time, to know whether this
// host's own paths are sound.
func (p *Prober) examinePath(ctx context.Context, instance flamingodoor.Instance) Testimony {
	sound := make(chan bool, 1)
	go func() { sound <- p.Sound(ctx, instance) }()
	if _, answers := p.Probe(ctx, instance); answers {
		return Testimony{Answers: true, Sound: true}
	}
	return Testimony{Sound: <-sound}
}

// Sound reports whether an instance of another area than that of the given one
// answers, or bytes of any other arrive before the context ends. It is true if there is
// no other area.
func (p *Prober) Sound(ctx context.Context, instance flamingodoor.Instance) bool {
	begun := p.paths.now()
	references := p.references(instance)
	answered := make(chan bool, len(references))
	for _, reference := range references {
		go func() {
			_, answers := p.Probe(ctx, reference)
			answered <- answers
		}()
	}
	sound := len(references) == 0
	for range references {
		sound = sound || <-answered
	}
	return (sound || p.paths.HeardSince(begun, instance.ID)) && !p.paths.Stranded()
}

// references returns instances of other areas than that of the given one, at random,
// one of this host's data centre first.
func (p *Prober) references(instance flamingodoor.Instance) []flamingodoor.Instance {
	instances := p.paths.instances()
	for _, known := range instances {
		if known.ID == instance.ID {
			instance = known
		}
	}
	var others []flamingodoor.Instance
	for _, other := range instances {
		if other.ID != instance.ID && areaOf(other) != areaOf(instance) {
			others = append(others, other)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] }) //nolint:gosec // need not be unpredictable
	for i, other := range others {
		if other.DataCentre == p.dataCentre {
			others[0], others[i] = others[i], others[0]
			break
		}
	}
	return others[:min(referenceCount, len(others))]
}

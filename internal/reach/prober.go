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
	// soundTime is how long the result of such a check holds from its begin. It is
	// less than the time of an inspection.
	soundTime = 100 * time.Millisecond
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
	soundChecks singleflight.Group
	logger      log.Logger

	mu    sync.Mutex
	sound map[area]soundness // of this host's paths outside the area
}

// soundness is what a check of this host's paths has shown.
type soundness struct {
	sound    bool
	deadline time.Time // until then, no other check is made
}

// NewProber returns a prober for a host in a data centre, which records in paths what
// it sees.
func NewProber(paths *Paths, report Report, confirm Confirm, dataCentre string, logger log.Logger) *Prober {
	return &Prober{paths: paths, report: report, confirm: confirm, dataCentre: dataCentre, logger: logger, sound: make(map[area]soundness)}
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
// at once if the first one fails. A stranded host finds nothing lost, and one that
// suspects its own paths examines these first: otherwise each host in a partition would
// have its witnesses probe all its instances.
func (p *Prober) Examine(ctx context.Context, instance flamingodoor.Instance) Finding {
	if p.paths.AwaitExamination(ctx) && p.paths.Stranded() {
		return Finding{Instance: instance}
	}
	ctx, cancel := context.WithTimeout(ctx, memberProbeTimeout)
	defer cancel()
	confirmed := make(chan bool, 1)
	ask := sync.OnceFunc(func() {
		p.paths.AwaitExamination(ctx)
		confirmed <- !p.paths.Stranded() && p.confirm(ctx, instance)
	})
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
	if report.ID != "" && report.ID != instance.ID {
		return false
	}
	return report.StartedAt.IsZero() || instance.StartedAt.IsZero() || report.StartedAt.Equal(instance.StartedAt)
}

// HasEnded reports whether the process of an instance has ended: its port is
// closed, or another process answers there. Silence does not show that. The port
// may take a moment to close. A partition can refuse connections as well, so
// witnesses have to confirm that. It also reports whether the process answers this host.
func (p *Prober) HasEnded(ctx context.Context, instance flamingodoor.Instance) (ended, answers bool) {
	ctx, cancel := context.WithTimeout(ctx, memberProbeTimeout)
	defer cancel()
	for range probeAttempts {
		report, err := p.requestReport(ctx, instance)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return p.confirm(ctx, instance) && !p.paths.Stranded(), false
		case err == nil:
			same := sameProcess(report, instance)
			return !same, same
		}
		pause(ctx, closingTime)
	}
	return false, false
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
// answers, or there is no other area. Bytes on old connections do not count: they may
// live on while new ones fail.
func (p *Prober) Sound(ctx context.Context, instance flamingodoor.Instance) bool {
	failed := areaOf(p.registered(instance))
	if sound, ok := p.recentlySound(failed); ok {
		return sound && !p.paths.Stranded()
	}
	result, _, _ := p.soundChecks.Do(fmt.Sprint(failed), func() (any, error) {
		return p.checkSound(ctx, failed), nil
	})
	sound, _ := result.(bool)
	return sound && !p.paths.Stranded()
}

// recentlySound returns the result of the latest check outside an area, if it is
// recent. The failure of a rack brings many questions at the same time.
func (p *Prober) recentlySound(failed area) (sound, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	latest, ok := p.sound[failed]
	return latest.sound, ok && p.paths.now().Before(latest.deadline)
}

// checkSound probes instances outside an area.
func (p *Prober) checkSound(ctx context.Context, failed area) bool {
	begun, references := p.paths.now(), p.references(failed)
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
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sound[failed] = soundness{sound: sound, deadline: begun.Add(soundTime)}
	return sound
}

// registered returns an instance as it is listed, with its fabric domain.
func (p *Prober) registered(instance flamingodoor.Instance) flamingodoor.Instance {
	for _, known := range p.paths.instances() {
		if known.ID == instance.ID {
			return known
		}
	}
	return instance
}

// references returns instances outside an area, at random, one of this host's data
// centre first.
func (p *Prober) references(failed area) []flamingodoor.Instance {
	var others []flamingodoor.Instance
	for _, other := range p.paths.instances() {
		if areaOf(other) != failed {
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

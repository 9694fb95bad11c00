package proxy

import (
	"net/http"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
)

// observeHead applies what the head of a response states about the instance that
// the request was meant for. Another instance responds with status 421.
func (p *Proxy) observeHead(instance flamingodoor.Instance, status int, header http.Header) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	if header.Get(p.headers.Leaving) == "1" {
		p.Observe(flamingodoor.InstanceNotice{InstanceID: instance.ID, StartedAt: instance.StartedAt, Leaving: true})
	}
}

// Observe applies what an instance stated in a response to this host. An instance
// that is leaving gets no new requests.
func (p *Proxy) Observe(notice flamingodoor.InstanceNotice) {
	now := p.now()
	if !notice.Leaving || !p.roster.MarkLeaving(notice.InstanceID, notice.StartedAt, now) {
		return
	}
	_ = level.Info(p.logger).Log("event", "instance_leaving", "instance", notice.InstanceID, "born_ms", notice.StartedAt.UnixMilli())
	p.roster.Publish(now)
	p.tracker.Wake()
	p.onLeaving(notice.InstanceID, notice.StartedAt)
}

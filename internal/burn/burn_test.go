package burn_test

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"
	"gotest.tools/v3/assert"

	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/burn"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// summary returns the summary of one host for the minute that begins the given
// number of minutes after start.
func summary(host string, minute int, requests, failed, downMS uint64, strandedAccelerators uint32) *recordv1.SummaryRecord {
	return &recordv1.SummaryRecord{
		HostId: host,
		From:   timestamppb.New(start.Add(time.Duration(minute) * time.Minute)),
		To:     timestamppb.New(start.Add(time.Duration(minute+1) * time.Minute)),
		Clubs: []*recordv1.ClubSummary{
			{ClubId: "<b>kivuko</b>", Requests: requests, Failed: failed, FirstTokens: 100, FirstTokenSlow: 5, Tokens: 10},
		},
		Groups:               []*recordv1.GroupSummary{{GroupId: "g", DownMs: downMS}},
		StrandedAccelerators: strandedAccelerators,
	}
}

// hourReport returns the report of two hosts over one hour. Host b has no
// summaries of minutes 30 to 39, one summary of host a is appended twice, and
// requests fail in the last 10 minutes. A summary of 30 minutes before the hour
// counts only in the windows that begin earlier.
func hourReport() burn.Report {
	var list []*recordv1.SummaryRecord
	for minute := range 60 {
		failed := uint64(0)
		if minute >= 50 {
			failed = 20
		}
		list = append(list, summary("a", minute, 100, failed, 1000, 6))
		if minute < 30 || minute >= 40 {
			list = append(list, summary("b", minute, 100, failed, 900, 4))
		}
	}
	list = append(list, summary("a", 59, 100, 20, 1000, 6), summary("a", -30, 1000, 0, 0, 0))
	return burn.Compute(list, burn.DefaultObjectives(), start, start.Add(time.Hour))
}

// Guards against counting a repeated summary, or a downtime that several hosts
// report, more than once, against missing summaries that are not reported, and
// against wrong windows.
func TestComputeOverHour(t *testing.T) {
	report := hourReport()
	assertNear := func(got, want float64) {
		t.Helper()
		assert.Assert(t, math.Abs(got-want) < 1e-6, "got %v, want %v", got, want)
	}
	availability, firstToken := report.Clubs[0].Objectives[0], report.Clubs[0].Objectives[1]
	assert.Equal(t, availability.Events, uint64(11000))
	assert.Equal(t, availability.Bad, uint64(400))
	assertNear(availability.BudgetUsed, 400.0/11000/0.001)
	assertNear(availability.Windows[0].ShortRate, 200)
	assertNear(availability.Windows[1].LongRate, 400.0/12000/0.001)
	assert.Assert(t, availability.Windows[0].Alert)
	assertNear(firstToken.BudgetUsed, 1)
	assert.Assert(t, !firstToken.Windows[0].Alert && firstToken.Windows[2].Alert)
	assertNear(availability.Series[49], 0)
	assertNear(availability.Series[50], 200)

	assertNear(report.Groups[0].DownSeconds, 60)
	assertNear(report.Stranded.AcceleratorHours, 6)
	assert.DeepEqual(t, report.Missing, []burn.MissingInterval{
		{HostID: "b", From: start.Add(30 * time.Minute), To: start.Add(40 * time.Minute)},
	})
}

// Guards against a page that contains unescaped markup from names or loads other
// resources, and against JSON that tools cannot read.
func TestRenderers(t *testing.T) {
	for name, report := range map[string]burn.Report{"hour": hourReport(), "empty": burn.Compute(nil, nil, start, start)} {
		var text, data, page strings.Builder
		assert.NilError(t, report.WriteText(&text))
		assert.NilError(t, report.WriteJSON(&data))
		assert.NilError(t, report.WriteHTML(&page))
		var decoded burn.Report
		assert.NilError(t, json.Unmarshal([]byte(data.String()), &decoded))
		assert.DeepEqual(t, decoded, report)
		assert.Assert(t, !strings.Contains(page.String(), "<b>") && !strings.Contains(page.String(), "http"))
		if name == "hour" {
			assert.Assert(t, strings.Contains(data.String(), `"budget_used"`))
			assert.Assert(t, strings.Contains(page.String(), "<polyline points=\"0.0,60.0"))
			assert.Assert(t, strings.Contains(text.String(), "No summary of b from 2026-01-01T00:30:00Z"))
		}
	}
}

// Guards against losing counts while the log is down, and against a backlog that
// grows without limit.
func TestCollectorKeepsSummariesWhileLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var logUp atomic.Bool
		var appended []*recordv1.SummaryRecord
		collector := burn.NewCollector("a", burn.WithBacklog(3), burn.WithAppend(func(_ context.Context, data []byte) error {
			if !logUp.Load() {
				return io.ErrUnexpectedEOF
			}
			record := &recordv1.SummaryRecord{}
			assert.Check(t, proto.Unmarshal(data, record))
			appended = append(appended, record)
			return nil
		}))
		ctx, cancel := context.WithCancel(t.Context())
		go collector.Run(ctx)
		collector.GroupDown("g", time.Second)
		time.Sleep(4*time.Minute + time.Second)
		gaps := []time.Duration{25 * time.Millisecond, 26 * time.Millisecond}
		collector.RequestFinished("c", true, 501*time.Millisecond, gaps)
		collector.RequestFinished("c", false, 0, nil)
		synctest.Wait()
		assert.Equal(t, collector.Dropped(), 1)
		logUp.Store(true)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		assert.Equal(t, len(appended), 3)
		cancel()
		synctest.Wait()
		assert.Equal(t, len(appended), 4)
		want := &recordv1.ClubSummary{
			ClubId: "c", Requests: 2, Failed: 1, FirstTokens: 1, FirstTokenSlow: 1, Tokens: 2, TokensSlow: 1,
		}
		assert.Assert(t, proto.Equal(appended[3].GetClubs()[0], want), "%v", appended[3])
		assert.Assert(t, appended[3].GetFrom().AsTime().Equal(appended[2].GetTo().AsTime()))
	})
}

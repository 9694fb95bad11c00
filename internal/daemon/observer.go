package daemon

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"flamingodoor.example/flamingodoor"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/burn"
	"flamingodoor.example/flamingodoor/internal/entry"
	"flamingodoor.example/flamingodoor/internal/telemetry"
)

// summaryPageSize is the number of records in one read of the summary stream.
const summaryPageSize = 512

// summaryReader reads service-level summaries from the log.
type summaryReader struct {
	log flamingodoor.LogReader
}

// Summaries returns the summaries in the log that overlap the interval. Records
// that cannot be decoded are skipped.
func (r *summaryReader) Summaries(ctx context.Context, from, to time.Time) ([]*recordv1.SummaryRecord, error) {
	var summaries []*recordv1.SummaryRecord
	next := uint64(1)
	for {
		page, err := r.log.Read(ctx, flamingodoor.SummaryStream, next, summaryPageSize, time.Now())
		if flamingodoor.CodeOf(err) == flamingodoor.CodeTrimmed && err != nil && page.First > next {
			next = page.First
			continue
		}
		if err != nil {
			return nil, err
		}
		for _, entry := range page.Entries {
			next = entry.Offset + 1
			summary := &recordv1.SummaryRecord{}
			if proto.Unmarshal(entry.Data, summary) != nil {
				continue
			}
			if summary.GetTo().AsTime().After(from) && summary.GetFrom().AsTime().Before(to) {
				summaries = append(summaries, summary)
			}
		}
		if len(page.Entries) == 0 || next >= page.Next {
			return summaries, nil
		}
	}
}

// requestObserver records finished requests in the metrics and in the summaries
// of the burn report.
type requestObserver struct {
	metrics   *telemetry.Metrics
	collector *burn.Collector
}

// causedByCaller reports whether the caller caused a failure with this code. Such
// a failure does not count against the availability of the service.
func causedByCaller(code flamingodoor.Code) bool {
	switch code {
	case flamingodoor.CodeInvalidRequest, flamingodoor.CodeUnauthenticated, flamingodoor.CodeNotAllowed,
		flamingodoor.CodeUnknownModel, flamingodoor.CodeUnknownService, flamingodoor.CodeTooLarge,
		flamingodoor.CodeKeyRequired, flamingodoor.CodeKeyInvalid, flamingodoor.CodeKeyExpired,
		flamingodoor.CodeKeyReused, flamingodoor.CodePoisonRequest:
		return true
	default:
		return false
	}
}

const resultOK = "ok"

// RequestFinished counts a finished request.
func (o *requestObserver) RequestFinished(observation entry.Observation) {
	result := resultOK
	if observation.Failed {
		result = observation.Code.String()
	}
	o.metrics.RequestFinished(observation.ClubID, result)
	if observation.FirstToken > 0 {
		o.metrics.FirstToken(observation.ClubID, observation.FirstToken)
	}
	if len(observation.Gaps) > 0 {
		o.metrics.TokenGap(observation.ClubID, slices.Max(observation.Gaps))
	}
	if observation.ClubID != "" {
		failed := observation.Failed && !causedByCaller(observation.Code)
		o.collector.RequestFinished(observation.ClubID, failed, observation.FirstToken, observation.Gaps)
	}
}

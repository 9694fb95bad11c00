// Package explain describes where an entry host would send a request now, and why: the
// described request, the answer, and their forms in a query, in JSON and in text.
package explain

import (
	"encoding/json"
	"net/http"
)

// Outcome is what would become of a request.
type Outcome int

// Outcomes.
const (
	OutcomeRefused   Outcome = iota
	OutcomePlaced            // at an instance
	OutcomeWaits             // for a slot
	OutcomeForwarded         // to another entry host, because this one lacks paths to instances
)

// Reason is why an instance or a group does not get a request.
type Reason int

// Reasons.
const (
	ReasonNone         Reason = iota
	ReasonNotServing          // the group forms, ends, or lacks a member
	ReasonLeaving             // the instance has announced its stop
	ReasonLost                // other hosts confirm that the instance does not answer
	ReasonEvacuated           // operators took the data centre out of service
	ReasonUnreachable         // this host does not reach the instance
	ReasonTried               // the request failed there
	ReasonHeld                // the instance asked for no requests for some time
	ReasonRateUsed            // this host's part of the rate that the instance stated
	ReasonColdRateUsed        // this host's part of the rate of a cold instance
	ReasonAtCapacity          // all slots are in use
	ReasonOwnLimit            // this host's part of a new group is in use
	ReasonOwnPart             // this host's part of scarce slots is in use
	ReasonSlowRetried         // the group was slow until lately, and gets single requests
	ReasonPaused              // the instance has just refused a request
)

// PrioritySource is where the priority of a request comes from.
type PrioritySource int

// Sources of a priority.
const (
	PrioritySourceRoute PrioritySource = iota
	PrioritySourceWorkspace
)

//go:generate go tool -modfile=../../tools/go.mod enumer -type=Outcome,Reason,PrioritySource -transform=snake -trimprefix=Outcome,Reason,PrioritySource -text -output=enums_enumer.go

// Answer is what a host would do with a request at the time of the answer.
type Answer struct {
	Host            string         `json:"host"`
	ConfigVersion   int64          `json:"config_version"`
	Route           string         `json:"route"`
	Service         string         `json:"service"`
	Workspace       string         `json:"workspace"`
	Model           string         `json:"model"`
	PromptTokens    int            `json:"prompt_tokens"`
	MaxOutputTokens int            `json:"max_output_tokens"`
	Priority        int            `json:"priority"` // 0 is the most urgent
	PrioritySource  PrioritySource `json:"priority_source"`
	Queue           Queue          `json:"queue"`
	Candidates      []Candidate    `json:"candidates"`
	Outcome         Outcome        `json:"outcome"`
	Choice          string         `json:"choice,omitempty"`  // instance
	Refusal         *Refusal       `json:"refusal,omitempty"` // now, or at the end of the wait
}

// Queue describes the requests that wait at the host for the same service and model.
type Queue struct {
	Waiting   int    `json:"waiting"`
	Ahead     int    `json:"ahead"`             // of Waiting, those that get a slot first
	TurnMS    *int64 `json:"turn_ms,omitempty"` // estimated time until a slot; nil if not known
	MaxWaitMS int64  `json:"max_wait_ms"`
}

// Candidate is an instance of the service, or the head of a group of the model.
type Candidate struct {
	Instance     string  `json:"instance"`
	Group        string  `json:"group,omitempty"`
	DataCentre   string  `json:"data_centre"`
	Reason       Reason  `json:"reason"`             // why it is out; none if it has a free slot
	UntilMS      int64   `json:"until_ms,omitempty"` // time until the reason ends, if that is known
	Capacity     int     `json:"capacity"`           // requests in flight, of all hosts
	InFlight     int     `json:"in_flight"`          // of all hosts
	OwnLimit     int     `json:"own_limit"`          // requests in flight, of this host
	OwnInFlight  int     `json:"own_in_flight"`
	SpeedPercent int     `json:"speed_percent"`
	RoundTripMS  float64 `json:"round_trip_ms"`
	PredictedMS  float64 `json:"predicted_ms"` // to the first event; 0 without declared times
	Load         float64 `json:"load"`         // compared between candidates; the least is chosen
	MayBeChosen  bool    `json:"may_be_chosen"`
}

// Refusal is the response to a request that gets no slot.
type Refusal struct {
	Status          int    `json:"status"`
	Reason          string `json:"reason"`
	MinRetryAfterMS int64  `json:"min_retry_after_ms"` // 0 for none; drawn at random up to MaxRetryAfterMS
	MaxRetryAfterMS int64  `json:"max_retry_after_ms"`
}

// Handler answers requests whose query parameters describe the request to explain.
func Handler(explain func(Request) Answer) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		described, err := ParseQuery(request.URL.Query())
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		writer.Header().Set("Content-Type", "application/json")
		// A write fails only if the reader has left.
		_ = json.NewEncoder(writer).Encode(explain(described))
	})
}

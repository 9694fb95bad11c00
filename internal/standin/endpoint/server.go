package standinendpoint

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"flamingodoor.example/flamingodoor"
)

const maxBodyBytes = 8 << 20

// reportBody is the answer to GET /v1/report.
type reportBody struct {
	Incarnation   string                     `json:"incarnation"`
	State         flamingodoor.EndpointState `json:"state"`
	InFlight      int                        `json:"in_flight,omitempty"`
	GroupID       string                     `json:"group_id,omitempty"`
	FencingNumber uint64                     `json:"fencing_number,omitempty"`
	MemberIndex   int                        `json:"member_index,omitempty"`
	Model         string                     `json:"model,omitempty"`
	Version       string                     `json:"version,omitempty"`
	Adapters      []string                   `json:"adapters,omitempty"`
	CacheSeq      uint64                     `json:"cache_seq,omitempty"`
}

// orderBody is the body of POST /v1/orders.
type orderBody struct {
	FencingNumber uint64           `json:"fencing_number"`
	GroupID       string           `json:"group_id"`
	MemberIndex   int              `json:"member_index"`
	Members       []netip.AddrPort `json:"members"`
	Model         string           `json:"model"`
	Version       string           `json:"version"`
	Adapters      []string         `json:"adapters"`
	WeightBytes   uint64           `json:"weight_bytes"`
}

// Statistics counts what the endpoint received and did.
type Statistics struct {
	Incarnation          string `json:"incarnation"`
	Received             int    `json:"received"` // including refused requests
	Completed            int    `json:"completed"`
	Cancelled            int    `json:"cancelled"`
	Disconnected         int    `json:"disconnected"` // lost connections and cancelled attempts
	Crashed              int    `json:"crashed"`
	RefusedGroup         int    `json:"refused_group"` // 409: not the head of this group, or the attempt is already running
	RefusedBusy          int    `json:"refused_busy"`  // 429: loading or at capacity
	WrongResumes         int    `json:"wrong_resumes"` // 422: resumed tokens that are not those of the answer
	Resumes              int    `json:"resumes"`
	Orders               int    `json:"orders"`
	RefusedOrders        int    `json:"refused_orders"`
	ColdInFlightMax      int    `json:"cold_in_flight_max"`
	ReceivedWhileLeaving int    `json:"received_while_leaving"`
	// LastWhileLeavingMS is the time from the start of leaving to the last
	// request received since.
	LastWhileLeavingMS int64 `json:"last_while_leaving_ms"`
	// Runs of a plain service by SHA-256 of the body, by X-Request-Id and by
	// X-Call-Key. An engine counts the attempts that it accepted by request.
	RunsByBody    map[string]int `json:"runs_by_body"`
	RunsByRequest map[string]int `json:"runs_by_request"`
	RunsByKey     map[string]int `json:"runs_by_key"`
}

// Server simulates a model engine or a plain service.
type Server struct {
	settings settings

	mu             sync.Mutex
	history        []snapshot // never empty; the last one is current
	highestFencing uint64     // highest fencing number of an accepted order
	running        map[attemptKey]*runningAttempt
	coldInFlight   int       // requests in flight that were accepted while cold
	coldCountFrom  time.Time // earlier requests do not count in coldInFlight
	leavingSince   time.Time
	cache          cache
	statistics     Statistics
	records        Records
}

// New returns an endpoint that has no group.
func New(options ...Option) *Server {
	s := newSettings(options)
	now := time.Now()
	return &Server{
		settings: s,
		history:  []snapshot{{at: now, cold: s.coldRequests > 0 || s.coldTime > 0, coldSince: now}},
		running:  map[attemptKey]*runningAttempt{},
		cache:    newCache(s.cachePrefixes, s.cacheEvents, s.cacheGapEvery),
		statistics: Statistics{
			Incarnation: s.incarnation, RunsByBody: map[string]int{},
			RunsByRequest: map[string]int{}, RunsByKey: map[string]int{},
		},
	}
}

// Handler returns the handler of the endpoint interface in section 9 of
// docs/design.md. For tests it also serves the counts at /v1/statistics, the records
// at /v1/records and changes of state at POST /v1/control/{cold,leaving,returning}.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.report(time.Now())) })
	mux.HandleFunc("GET /v1/statistics", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Statistics()) })
	mux.HandleFunc("GET /v1/records", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Records()) })
	mux.HandleFunc("POST /v1/control/cold", func(http.ResponseWriter, *http.Request) { s.MakeCold() })
	mux.HandleFunc("POST /v1/control/leaving", func(http.ResponseWriter, *http.Request) { s.SetLeaving(true) })
	mux.HandleFunc("POST /v1/control/returning", func(http.ResponseWriter, *http.Request) { s.SetLeaving(false) })
	if s.settings.service {
		mux.HandleFunc("/", s.serveCall)
		return mux
	}
	mux.HandleFunc("POST /v1/generate", s.serveGenerate)
	mux.HandleFunc("DELETE /v1/requests/{id}", s.serveCancel)
	mux.HandleFunc("POST /v1/orders", s.serveOrder)
	mux.HandleFunc("GET /v1/cache_events", s.serveCacheEvents)
	return mux
}

// Statistics returns a copy of the counts.
func (s *Server) Statistics() Statistics {
	s.mu.Lock()
	defer s.mu.Unlock()
	statistics := s.statistics
	statistics.RunsByBody = maps.Clone(s.statistics.RunsByBody)
	statistics.RunsByRequest = maps.Clone(s.statistics.RunsByRequest)
	statistics.RunsByKey = maps.Clone(s.statistics.RunsByKey)
	return statistics
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order orderBody
	if !readJSON(w, r, &order) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statistics.Orders++
	if s.settings.checksFencing && order.FencingNumber < s.highestFencing {
		s.statistics.RefusedOrders++
		s.recordOrder(&order, false)
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.recordOrder(&order, true)
	s.highestFencing = max(s.highestFencing, order.FencingNumber)
	previous := s.current().order
	repeatsOrder := previous.GroupID == order.GroupID && previous.FencingNumber == order.FencingNumber
	now := time.Now()
	s.update(func(snap *snapshot) {
		snap.order = order
		if repeatsOrder || order.GroupID == "" {
			return
		}
		snap.loadingUntil = now.Add(s.settings.loadTime)
		snap.coldSince, snap.coldServed = snap.loadingUntil, 0
		snap.cold = s.settings.coldRequests > 0 || s.settings.coldTime > 0
	})
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	hash := sha256.Sum256(body)
	s.mu.Lock()
	now := time.Now()
	s.countReceived(now)
	s.recordRequest(now, 0)
	cold := s.begin(now)
	s.statistics.RunsByBody[hex.EncodeToString(hash[:])]++
	s.statistics.RunsByRequest[r.Header.Get("X-Request-Id")]++
	if key := r.Header.Get("X-Call-Key"); key != "" {
		s.statistics.RunsByKey[key]++
	}
	s.mu.Unlock()
	defer s.end(cold, true)
	select {
	case <-time.After(s.settings.serviceDelay):
	case <-r.Context().Done():
	}
	writeJSON(w, map[string]any{
		"incarnation": s.settings.incarnation, "method": r.Method, "path": r.URL.RequestURI(),
		"body_hash": hex.EncodeToString(hash[:]),
	})
}

func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(target); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

package standinendpoint

import (
	"net/netip"
	"slices"
	"time"
)

// maxRecords limits the number of records of each kind, to bound memory. Later
// records are only counted, in Dropped.
const maxRecords = 200_000

// Records are what the endpoint received, in the order of arrival.
type Records struct {
	Orders   []OrderRecord   `json:"orders"`
	Requests []RequestRecord `json:"work"`
	Dropped  int             `json:"dropped"`
}

// OrderRecord is an order that the engine received.
type OrderRecord struct {
	At            time.Time        `json:"at"`
	GroupID       string           `json:"group_id"`
	FencingNumber uint64           `json:"fencing_number"`
	MemberIndex   int              `json:"member_index"`
	Members       []netip.AddrPort `json:"members"`
	Accepted      bool             `json:"accepted"`
}

// RequestRecord is a request or call that the endpoint received, whether it ran
// or not. The fencing number is the one in the request.
type RequestRecord struct {
	At            time.Time `json:"at"`
	FencingNumber uint64    `json:"fencing_number"`
}

// Records returns a copy of the records.
func (s *Server) Records() Records {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Records{
		Orders: slices.Clone(s.records.Orders), Requests: slices.Clone(s.records.Requests), Dropped: s.records.Dropped,
	}
}

// recordOrder adds an order. The caller holds the lock.
func (s *Server) recordOrder(order *orderBody, accepted bool) {
	if len(s.records.Orders) >= maxRecords {
		s.records.Dropped++
		return
	}
	s.records.Orders = append(s.records.Orders, OrderRecord{
		At: time.Now(), GroupID: order.GroupID, FencingNumber: order.FencingNumber,
		MemberIndex: order.MemberIndex, Members: order.Members, Accepted: accepted,
	})
}

// recordRequest adds a request or call. The caller holds the lock.
func (s *Server) recordRequest(now time.Time, fencingNumber uint64) {
	if len(s.records.Requests) >= maxRecords {
		s.records.Dropped++
		return
	}
	s.records.Requests = append(s.records.Requests, RequestRecord{At: now, FencingNumber: fencingNumber})
}

package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: topics with one partition
// that is used, the newest record of each key, and one consumer group.
type store struct {
	listener net.Listener

	mu         sync.Mutex
	topics     map[string][][]byte
	changed    chan struct{} // closed and replaced at each append
	members    map[string]time.Time
	leader     string
	generation int64
}

func newStore() *store {
	listener, err := net.Listen("tcp", loopback(200)+":0")
	must(err)
	s := &store{listener: listener, topics: map[string][][]byte{}, changed: make(chan struct{}), members: map[string]time.Time{}}
	mux := http.NewServeMux()
	mux.HandleFunc("/log-append", s.append)
	mux.HandleFunc("/log-read", s.read)
	mux.HandleFunc("/log-newest", s.newest)
	mux.HandleFunc("/log-join", s.join)
	mux.HandleFunc("/log-leave", s.leave)
	answer := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		mux.ServeHTTP(w, r)
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(answer)) }()
	return s
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// put writes the newest record of a key. A nil value deletes the key.
func (s *store) put(topic, key string, value any) {
	record := append([]byte{byte(len(key))}, key...)
	if value != nil {
		data, err := json.Marshal(value)
		must(err)
		record = append(record, data...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, record)
}

func (s *store) add(topic string, records ...[]byte) {
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+size {
			break
		}
		records = append(records, bytes.Clone(body[4:4+size]))
		body = body[4+size:]
	}
	topic := r.URL.Query().Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		reply(w, 403, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := len(s.topics[topic])
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(offset) {
		reply(w, 412, map[string]any{"end": offset})
		return
	}
	s.add(topic, records...)
	reply(w, 200, map[string]any{"offset": offset, "end": offset + len(records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topics[query.Get("topic")], s.changed
		s.mu.Unlock()
		if len(records) <= from && wait > 0 {
			select {
			case <-changed:
				continue
			case <-deadline:
			case <-r.Context().Done():
				return
			}
		}
		var body bytes.Buffer
		_ = binary.Write(&body, binary.BigEndian, []int64{int64(len(records)), 0})
		for _, record := range records[min(from, len(records)):] {
			_ = binary.Write(&body, binary.BigEndian, uint32(len(record)))
			body.Write(record)
			if body.Len() > 1<<20 {
				break
			}
		}
		_, _ = w.Write(body.Bytes())
		return
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[r.URL.Query().Get("topic")]
	byKey := map[string]item{}
	for offset, record := range records {
		key, value := string(record[1:1+int(record[0])]), record[1+int(record[0]):]
		byKey[key] = item{key, value, offset}
		if len(value) == 0 {
			delete(byKey, key)
		}
	}
	items := []item{}
	for _, each := range byKey {
		items = append(items, each)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	reply(w, 200, map[string]any{"items": items, "has_more": false, "end": len(records)})
}

// join keeps a member in the group. All partitions are the first member's until it
// leaves or its time passes.
func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Member string   `json:"member"`
		Topics []string `json:"topics"`
		TTL    int64    `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || len(request.Topics) == 0 {
		reply(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.members[request.Member] = now.Add(time.Duration(request.TTL) * time.Millisecond)
	if s.leader == "" || s.members[s.leader].Before(now) {
		s.leader = request.Member
		s.generation++
	}
	parts := [][]any{}
	if s.leader == request.Member {
		parts = append(parts, []any{request.Topics[0], 0, 0})
	}
	reply(w, 200, map[string]any{"generation": s.generation, "ttl_ms": request.TTL, "parts": parts})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Member string `json:"member"`
	}
	_ = json.NewDecoder(r.Body).Decode(&request)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.members, request.Member)
	if s.leader == request.Member {
		s.leader = ""
	}
	reply(w, 200, map[string]any{})
}

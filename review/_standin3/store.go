package main

import (
	"encoding/base64"
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

// Topics that workers and the operator write.
const (
	serversTopic  = "keyed.servers"
	operatorTopic = "keyed.op"
)

// store is a stand-in for the platform's store. Each topic has one partition.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	topics   map[string][][]byte
	appended chan struct{}
	leader   string
	leaseEnd time.Time
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, topics: make(map[string][][]byte), appended: make(chan struct{})}
	go func() { _ = (&http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}).Serve(listener) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put appends a record with a key. An empty value deletes the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic, append(append([]byte{byte(len(key))}, key...), value...))
}

func (s *store) append(topic string, record []byte) {
	s.topics[topic] = append(s.topics[topic], record)
	close(s.appended)
	s.appended = make(chan struct{})
}

func (s *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	topic := request.URL.Query().Get("topic")
	writer.Header().Set("Store-Era", "0")
	switch request.URL.Path {
	case "/log-append":
		s.serveAppend(writer, request, topic)
	case "/log-read":
		s.serveRead(writer, request, topic)
	case "/log-newest":
		s.serveNewest(writer, topic)
	case "/log-join":
		s.serveJoin(writer, request)
	case "/log-leave":
		s.serveLeave(writer, request)
	default:
		_, _ = io.WriteString(writer, "{}")
	}
}

func (s *store) serveAppend(writer http.ResponseWriter, request *http.Request, topic string) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if topic == serversTopic || topic == operatorTopic {
		writer.WriteHeader(http.StatusForbidden)
		return
	}
	end := len(s.topics[topic])
	if at := request.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		writer.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(writer, map[string]int{"end": end})
		return
	}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		s.append(topic, body[4:4+size])
		body = body[4+size:]
	}
	writeJSON(writer, map[string]int{"offset": end, "end": len(s.topics[topic])})
}

func (s *store) serveRead(writer http.ResponseWriter, request *http.Request, topic string) {
	from, _ := strconv.Atoi(request.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(request.URL.Query().Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	s.mu.Lock()
	for waiting := wait > 0; waiting && from >= len(s.topics[topic]); {
		appended := s.appended
		s.mu.Unlock()
		select {
		case <-appended:
		case <-deadline.C:
			waiting = false
		case <-request.Context().Done():
			return
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	records := s.topics[topic]
	if from > len(records) {
		writer.WriteHeader(http.StatusGone)
		writeJSON(writer, map[string]int{"first": 0})
		return
	}
	page := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	page = binary.BigEndian.AppendUint64(page, 0)
	for _, record := range records[from:] {
		page = binary.BigEndian.AppendUint32(page, uint32(len(record)))
		page = append(page, record...)
	}
	_, _ = writer.Write(page)
}

func (s *store) serveNewest(writer http.ResponseWriter, topic string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := make(map[string]item)
	for offset, record := range s.topics[topic] {
		size := int(record[0])
		key, value := string(record[1:1+size]), record[1+size:]
		if len(value) == 0 {
			delete(newest, key)
			continue
		}
		newest[key] = item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: offset}
	}
	items := make([]item, 0, len(newest))
	for _, each := range newest {
		items = append(items, each)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	writeJSON(writer, map[string]any{"items": items, "has_more": false, "end": len(s.topics[topic])})
}

func (s *store) serveJoin(writer http.ResponseWriter, request *http.Request) {
	var join struct {
		Member string   `json:"member"`
		Topics []string `json:"topics"`
		TTLMS  int64    `json:"ttl_ms"`
	}
	if err := json.NewDecoder(request.Body).Decode(&join); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.leader == "" || now.After(s.leaseEnd) {
		s.leader = join.Member
	}
	parts := [][]any{}
	if s.leader == join.Member {
		s.leaseEnd = now.Add(time.Duration(join.TTLMS) * time.Millisecond)
		for _, topic := range join.Topics {
			parts = append(parts, []any{topic, 0, 0})
		}
	}
	writeJSON(writer, map[string]any{"generation": 1, "parts": parts})
}

func (s *store) serveLeave(writer http.ResponseWriter, request *http.Request) {
	var leave struct {
		Member string `json:"member"`
	}
	if err := json.NewDecoder(request.Body).Decode(&leave); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == leave.Member {
		s.leader = ""
	}
	_, _ = io.WriteString(writer, "{}")
}

func writeJSON(writer io.Writer, value any) {
	_ = json.NewEncoder(writer).Encode(value)
}

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const storeParts = 24

// Store is a stand-in for the platform's metadata store.
type Store struct {
	Address string

	mu     sync.Mutex
	topics map[string]*logTopic
	groups map[string]*logGroup
	notify chan struct{}
	server *http.Server
	down   bool
	era    int
}

type logTopic struct {
	records [][]byte
	times   []time.Time // when the records were appended
}

// NewStore starts a store on a free port.
func NewStore() *Store {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("store: " + err.Error())
	}
	s := &Store{Address: listener.Addr().String(), topics: map[string]*logTopic{}, groups: map[string]*logGroup{}, notify: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s
}

// Put writes a keyed record as the operator or a worker does. An empty value deletes
// the key.
func (s *Store) Put(topic, key, value string) {
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic, append(record, value...))
}

// SetDown makes the store refuse all calls with 503, or serve them again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Restore brings the store back from a copy of the given time: what was written since
// is gone, and so are the members of groups.
func (s *Store) Restore(copied time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, topic := range s.topics {
		kept := 0
		for kept < len(topic.times) && !topic.times[kept].After(copied) {
			kept++
		}
		topic.records, topic.times = slices.Clone(topic.records[:kept]), slices.Clone(topic.times[:kept])
	}
	s.groups = map[string]*logGroup{}
	s.era++
	s.down = false
	close(s.notify)
	s.notify = make(chan struct{})
}

func (s *Store) topic(name string) *logTopic {
	topic, ok := s.topics[name]
	if !ok {
		topic = &logTopic{}
		s.topics[name] = topic
	}
	return topic
}

func (s *Store) append(name string, record []byte) {
	topic := s.topic(name)
	topic.records, topic.times = append(topic.records, record), append(topic.times, time.Now())
	close(s.notify)
	s.notify = make(chan struct{})
}

func (s *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	name := query.Get("topic") + "#" + query.Get("part")
	if part := query.Get("part"); part == "0" || part == "" {
		name = query.Get("topic")
	}
	s.mu.Lock()
	down, era := s.down, s.era
	s.mu.Unlock()
	writer.Header().Set("Store-Era", strconv.Itoa(era))
	if down {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch request.URL.Path {
	case "/log-append":
		s.serveAppend(writer, request, name)
	case "/log-read":
		s.serveRead(writer, request, name)
	case "/log-newest":
		s.serveNewest(writer, request, name)
	case "/log-join":
		s.serveJoin(writer, request)
	case "/log-leave":
		s.serveLeave(writer, request)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func reply(writer http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(data)
}

func (s *Store) serveAppend(writer http.ResponseWriter, request *http.Request, name string) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if name == "keyed.op" || name == "keyed.servers" {
		writer.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topic(name).records)
	if at := request.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		reply(writer, http.StatusPreconditionFailed, map[string]int{"end": end})
		return
	}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		s.append(name, slices.Clone(body[4:4+size]))
		body = body[4+size:]
	}
	reply(writer, http.StatusOK, map[string]int{"offset": end, "end": len(s.topic(name).records)})
}

func (s *Store) serveRead(writer http.ResponseWriter, request *http.Request, name string) {
	from, _ := strconv.Atoi(request.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(request.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for expired := wait == 0; !expired && !s.down && from >= len(s.topic(name).records); {
		notify := s.notify
		s.mu.Unlock()
		select {
		case <-notify:
		case <-deadline:
			expired = true
		case <-request.Context().Done():
			expired = true
		}
		s.mu.Lock()
	}
	writer.Header().Set("Store-Era", strconv.Itoa(s.era))
	if s.down {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	records := s.topic(name).records
	if from > len(records) {
		reply(writer, http.StatusGone, map[string]int{"first": 0})
		return
	}
	page := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	page = binary.BigEndian.AppendUint64(page, 0)
	for _, record := range records[from:] {
		if len(page)+len(record) > 1<<20 {
			break
		}
		page = binary.BigEndian.AppendUint32(page, uint32(len(record)))
		page = append(page, record...)
	}
	_, _ = writer.Write(page)
}

func (s *Store) serveNewest(writer http.ResponseWriter, request *http.Request, name string) {
	after := request.URL.Query().Get("after")
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string]item{}
	for offset, record := range s.topic(name).records {
		size := int(record[0])
		key, value := string(record[1:1+size]), record[1+size:]
		if len(value) == 0 {
			delete(newest, key)
			continue
		}
		newest[key] = item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: offset}
	}
	var keys []string
	for key := range newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > 500
	items := []item{}
	for _, key := range keys[:min(500, len(keys))] {
		items = append(items, newest[key])
	}
	reply(writer, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": len(s.topic(name).records)})
}

// logGroup is a consumer group. A partition moves to another member once its holder
// has joined with the present generation, has left, or has been silent for its ttl.
type logGroup struct {
	generation int
	members    map[string]*logMember
	topics     []string
	holders    map[string]map[int]string
}

type logMember struct {
	deadline   time.Time
	generation int
}

type joinCall struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTL        int      `json:"ttl_ms"`
	Generation int      `json:"generation"`
}

func (s *Store) group(name string) *logGroup {
	group, ok := s.groups[name]
	if !ok {
		group = &logGroup{members: map[string]*logMember{}, holders: map[string]map[int]string{}}
		s.groups[name] = group
	}
	for id, member := range group.members {
		if time.Now().After(member.deadline) {
			group.drop(id)
		}
	}
	return group
}

func (g *logGroup) drop(id string) {
	delete(g.members, id)
	g.generation++
	for _, parts := range g.holders {
		for part, holder := range parts {
			if holder == id {
				delete(parts, part)
			}
		}
	}
}

func (g *logGroup) settle() {
	var ids []string
	for id := range g.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, topic := range g.topics {
		if g.holders[topic] == nil {
			g.holders[topic] = map[int]string{}
		}
		for part := range storeParts {
			target := ids[part%len(ids)]
			holder, held := g.holders[topic][part]
			if !held || (holder != target && g.members[holder].generation >= g.generation) {
				g.holders[topic][part] = target
			}
		}
	}
}

func (s *Store) serveJoin(writer http.ResponseWriter, request *http.Request) {
	var call joinCall
	_ = json.NewDecoder(request.Body).Decode(&call)
	s.mu.Lock()
	defer s.mu.Unlock()
	group := s.group(call.Group)
	member, known := group.members[call.Member]
	if !known {
		member = &logMember{}
		group.members[call.Member] = member
		group.generation++
	}
	group.topics = call.Topics
	member.deadline = time.Now().Add(time.Duration(call.TTL) * time.Millisecond)
	member.generation = call.Generation
	group.settle()
	rows := [][]any{}
	for topic, parts := range group.holders {
		for part, holder := range parts {
			if holder == call.Member {
				rows = append(rows, []any{topic, part, 0})
			}
		}
	}
	reply(writer, http.StatusOK, map[string]any{"generation": group.generation, "ttl_ms": call.TTL, "parts": rows})
}

func (s *Store) serveLeave(writer http.ResponseWriter, request *http.Request) {
	var call joinCall
	_ = json.NewDecoder(request.Body).Decode(&call)
	s.mu.Lock()
	defer s.mu.Unlock()
	group := s.group(call.Group)
	if _, known := group.members[call.Member]; known {
		group.drop(call.Member)
	}
	reply(writer, http.StatusOK, map[string]any{})
}

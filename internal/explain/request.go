package explain

import (
	"bufio"
	"io"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"flamingodoor.example/flamingodoor"
)

// Request describes a request without its key and body.
type Request struct {
	Route           string // name; if it is empty, Host and Path select the route
	Host            string
	Path            string
	Service         string // of the route; if it is empty, the one with the greatest weight
	Workspace       string // name; if it is empty, the priority is that of the route
	Model           string
	PromptTokens    int // 0 for the mean of the service
	MaxOutputTokens int
	Deadline        time.Duration // that the caller allows; 0 for the route's timeout
}

// maxTokens and maxDeadline bound the values in a query.
const (
	maxTokens   = 1 << 30
	maxDeadline = time.Hour
)

// text returns the text fields by the names of their query parameters.
func (r *Request) text() map[string]*string {
	return map[string]*string{
		"route": &r.Route, "host": &r.Host, "path": &r.Path, "service": &r.Service, "workspace": &r.Workspace, "model": &r.Model,
	}
}

// Query returns the query parameters that describe the request.
func (r Request) Query() url.Values {
	query := make(url.Values)
	for name, value := range r.text() {
		if *value != "" {
			query.Set(name, *value)
		}
	}
	for name, value := range map[string]int64{
		"prompt_tokens": int64(r.PromptTokens), "max_output_tokens": int64(r.MaxOutputTokens), "deadline_ms": r.Deadline.Milliseconds(),
	} {
		if value != 0 {
			query.Set(name, strconv.FormatInt(value, 10))
		}
	}
	return query
}

// ParseQuery returns the request that query parameters describe. Its errors contain no
// values, which may be keys that were given by mistake.
func ParseQuery(query url.Values) (Request, error) {
	var request Request
	texts, deadline := request.text(), 0
	numbers := map[string]*int{"prompt_tokens": &request.PromptTokens, "max_output_tokens": &request.MaxOutputTokens, "deadline_ms": &deadline}
	for name, values := range query {
		if text, ok := texts[name]; ok {
			*text = values[0]
			continue
		}
		number, ok := numbers[name]
		if !ok {
			return Request{}, flamingodoor.Errorf(flamingodoor.CodeInvalidRequest, "a query parameter is not known")
		}
		value, err := strconv.Atoi(values[0])
		if err != nil || value < 0 || value > maxTokens {
			return Request{}, flamingodoor.Errorf(flamingodoor.CodeInvalidRequest, "%s is no number from 0 to %d", name, maxTokens)
		}
		*number = value
	}
	request.Deadline = min(maxDeadline, time.Duration(deadline)*time.Millisecond)
	return request, request.validate()
}

func (r Request) validate() error {
	if r.Route == "" && (r.Host == "" || r.Path == "") {
		return flamingodoor.Errorf(flamingodoor.CodeInvalidRequest, "a route, or a host and a path, is needed")
	}
	return nil
}

// ReadLog returns the request of the first log line with event=request: its route,
// workspace and model.
func ReadLog(log io.Reader) (Request, error) {
	scanner := bufio.NewScanner(log)
	for scanner.Scan() {
		fields := parseLine(scanner.Text())
		if fields["event"] == "request" && fields["route"] != "" {
			return Request{Route: fields["route"], Workspace: fields["workspace"], Model: fields["model"]}, nil
		}
	}
	if err := scanner.Err(); err != nil {
		return Request{}, flamingodoor.NewError(flamingodoor.CodeInvalidRequest, flamingodoor.RunStateNotRun, err)
	}
	return Request{}, flamingodoor.Errorf(flamingodoor.CodeInvalidRequest, "no line with event=request and a route")
}

// parseLine returns the fields of a log line, or nil if it is malformed.
func parseLine(text string) map[string]string {
	decoder, fields := logfmt.NewDecoder(strings.NewReader(text)), make(map[string]string)
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	if decoder.Err() != nil {
		return nil
	}
	return fields
}

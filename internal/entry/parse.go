package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"flamingodoor.example/flamingodoor"
)

const maxPriority = 9

// chatBody contains the supported fields of an OpenAI style request. Other
// fields are ignored.
type chatBody struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Priority  int       `json:"priority"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func invalidf(format string, args ...any) error {
	return flamingodoor.Errorf(flamingodoor.CodeInvalidRequest, format, args...)
}

// requestTimeout parses the header X-Request-Timeout, a number of seconds. It
// returns the default for an empty value and limits the result to maxTimeout.
func (h *handler) requestTimeout(value string) (time.Duration, error) {
	if value == "" {
		return h.timeout, nil
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0, invalidf("X-Request-Timeout %q is not a positive number of seconds", value)
	}
	if seconds >= h.maxTimeout.Seconds() {
		return h.maxTimeout, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// readBody reads the request body. The error has CodeTooLarge if the body exceeds
// maxBodyBytes.
func (h *handler) readBody(x *exchange) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(x.writer, x.request.Body, h.maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, flamingodoor.Errorf(flamingodoor.CodeTooLarge, "body exceeds %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, flamingodoor.NewError(flamingodoor.CodeInvalidRequest, flamingodoor.RunStateNotRun, err)
	}
	return data, nil
}

// parseChat parses and validates the body of a chat request.
func parseChat(data []byte) (chatBody, error) {
	var body chatBody
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&body); err != nil {
		return body, malformedJSON(data, err)
	}
	if rest := bytes.TrimSpace(data[decoder.InputOffset():]); len(rest) > 0 {
		line, column := lineAndColumn(data, int64(len(data)-len(rest)))
		return body, invalidf("unexpected data after the JSON value at line %d, column %d", line, column)
	}
	switch {
	case body.Model == "":
		return body, invalidf("model is missing")
	case len(body.Messages) == 0:
		return body, invalidf("messages are missing")
	case body.MaxTokens < 0:
		return body, invalidf("max_tokens is negative")
	case body.Priority < 0 || body.Priority > maxPriority:
		return body, invalidf("priority is not between 0 and %d", maxPriority)
	}
	return body, nil
}

// malformedJSON returns an error with the position of a JSON decoding error.
func malformedJSON(data []byte, err error) error {
	offset := int64(len(data))
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset - 1
	case errors.As(err, &mismatch):
		offset = mismatch.Offset - 1
	}
	line, column := lineAndColumn(data, offset)
	return invalidf("malformed JSON at line %d, column %d: %s", line, column, err.Error())
}

// lineAndColumn converts a byte offset to a line and a column, both counted from
// 1.
func lineAndColumn(data []byte, offset int64) (line, column int) {
	before := data[:min(max(offset, 0), int64(len(data)))]
	return bytes.Count(before, []byte{'\n'}) + 1, len(before) - bytes.LastIndexByte(before, '\n')
}

// renderPrompt renders the messages as the single prompt that an engine takes.
func renderPrompt(messages []message) string {
	var prompt strings.Builder
	for _, message := range messages {
		prompt.WriteString(message.Role + ": " + message.Content + "\n")
	}
	return prompt.String()
}

// modelSelection is the model, version and adapter of a request.
type modelSelection struct {
	modelID string
	version string
	adapter string
}

// resolveModel resolves "ID[@VERSION][:ADAPTER]" against the club's grants.
// Without a version it selects the newest granted one that has a group.
func resolveModel(configuration flamingodoor.Configuration, club flamingodoor.Club, name string) (modelSelection, error) {
	rest, adapter, _ := strings.Cut(name, ":")
	id, version, hasVersion := strings.Cut(rest, "@")
	selection := modelSelection{modelID: id, version: version, adapter: adapter}
	model, ok := configuration.Model(id)
	if !ok {
		return selection, flamingodoor.Errorf(flamingodoor.CodeUnknownModel, "model %q does not exist", id)
	}
	index := slices.IndexFunc(club.Models, func(g flamingodoor.ModelGrant) bool { return g.ModelID == id })
	if index < 0 {
		return selection, flamingodoor.Errorf(flamingodoor.CodeNotAllowed, "club may not use model %q", id)
	}
	grant := club.Models[index]
	if adapter != "" && !slices.Contains(model.Adapters, adapter) {
		return selection, flamingodoor.Errorf(flamingodoor.CodeUnknownModel, "model %q has no adapter %q", id, adapter)
	}
	if adapter != "" && !slices.Contains(grant.Adapters, adapter) {
		return selection, flamingodoor.Errorf(flamingodoor.CodeNotAllowed, "club may not use adapter %q", adapter)
	}
	if hasVersion && !slices.Contains(model.Versions, version) {
		return selection, flamingodoor.Errorf(flamingodoor.CodeUnknownModel, "model %q has no version %q", id, version)
	}
	granted := slices.DeleteFunc(slices.Clone(model.Versions), func(v string) bool {
		return len(grant.Versions) > 0 && !slices.Contains(grant.Versions, v)
	})
	if len(granted) == 0 || (hasVersion && !slices.Contains(granted, version)) {
		return selection, flamingodoor.Errorf(flamingodoor.CodeNotAllowed, "club may not use version %q of model %q", version, id)
	}
	if !hasVersion {
		selection.version = newestWithGroup(configuration, id, granted)
	}
	return selection, nil
}

// newestWithGroup returns the last declared version that has a group, so that
// callers keep using the previous version until the new one has a group.
// If no version has a group, it returns the last one.
func newestWithGroup(configuration flamingodoor.Configuration, modelID string, versions []string) string {
	groups := configuration.GroupsOfModel(modelID)
	for _, version := range slices.Backward(versions) {
		if slices.ContainsFunc(groups, func(g flamingodoor.Group) bool { return g.Version == version }) {
			return version
		}
	}
	return versions[len(versions)-1]
}

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

const highestPriority = 9

// chatBody is the part of an OpenAI style request that is used. Other fields
// are ignored.
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

// requestTimeout reads the header X-Request-Timeout, in seconds.
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

// readBody reads a bounded body.
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

func parseChat(data []byte) (chatBody, error) {
	var body chatBody
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&body); err != nil {
		return body, malformed(data, err)
	}
	if rest := bytes.TrimSpace(data[decoder.InputOffset():]); len(rest) > 0 {
		line, column := position(data, int64(len(data)-len(rest)))
		return body, invalidf("unexpected data after the JSON value at line %d, column %d", line, column)
	}
	switch {
	case body.Model == "":
		return body, invalidf("model is missing")
	case len(body.Messages) == 0:
		return body, invalidf("messages are missing")
	case body.MaxTokens < 0:
		return body, invalidf("max_tokens is negative")
	case body.Priority < 0 || body.Priority > highestPriority:
		return body, invalidf("priority is not between 0 and %d", highestPriority)
	}
	return body, nil
}

// malformed names the position of a JSON error.
func malformed(data []byte, err error) error {
	offset := int64(len(data))
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset - 1
	case errors.As(err, &mismatch):
		offset = mismatch.Offset - 1
	}
	line, column := position(data, offset)
	return invalidf("malformed JSON at line %d, column %d: %s", line, column, err.Error())
}

// position converts an offset in bytes to a line and a column from 1 on.
func position(data []byte, offset int64) (line, column int) {
	before := data[:min(max(offset, 0), int64(len(data)))]
	return bytes.Count(before, []byte{'\n'}) + 1, len(before) - bytes.LastIndexByte(before, '\n')
}

// prompt renders messages for the engine's single prompt.
func prompt(messages []message) string {
	var text strings.Builder
	for _, message := range messages {
		text.WriteString(message.Role + ": " + message.Content + "\n")
	}
	return text.String()
}

// modelChoice is what the caller's model field selects.
type modelChoice struct {
	modelID string
	version string
	adapter string
}

// chooseModel resolves "ID[@VERSION][:ADAPTER]" against the club's grants.
// Without a version the newest granted one that has a group is taken.
func chooseModel(configuration flamingodoor.Configuration, club flamingodoor.Club, name string) (modelChoice, error) {
	rest, adapter, _ := strings.Cut(name, ":")
	id, version, hasVersion := strings.Cut(rest, "@")
	choice := modelChoice{modelID: id, version: version, adapter: adapter}
	model, ok := configuration.Model(id)
	if !ok {
		return choice, flamingodoor.Errorf(flamingodoor.CodeUnknownModel, "model %q does not exist", id)
	}
	index := slices.IndexFunc(club.Models, func(g flamingodoor.ModelGrant) bool { return g.ModelID == id })
	if index < 0 {
		return choice, flamingodoor.Errorf(flamingodoor.CodeNotAllowed, "club may not use model %q", id)
	}
	grant := club.Models[index]
	if adapter != "" && !slices.Contains(model.Adapters, adapter) {
		return choice, flamingodoor.Errorf(flamingodoor.CodeUnknownModel, "model %q has no adapter %q", id, adapter)
	}
	if adapter != "" && !slices.Contains(grant.Adapters, adapter) {
		return choice, flamingodoor.Errorf(flamingodoor.CodeNotAllowed, "club may not use adapter %q", adapter)
	}
	if hasVersion && !slices.Contains(model.Versions, version) {
		return choice, flamingodoor.Errorf(flamingodoor.CodeUnknownModel, "model %q has no version %q", id, version)
	}
	granted := slices.DeleteFunc(slices.Clone(model.Versions), func(v string) bool {
		return len(grant.Versions) > 0 && !slices.Contains(grant.Versions, v)
	})
	if len(granted) == 0 || (hasVersion && !slices.Contains(granted, version)) {
		return choice, flamingodoor.Errorf(flamingodoor.CodeNotAllowed, "club may not use version %q of model %q", version, id)
	}
	if !hasVersion {
		choice.version = newestServed(configuration, id, granted)
	}
	return choice, nil
}

// newestServed returns the last declared version that has a group, so that a
// version that is still being placed does not interrupt callers.
func newestServed(configuration flamingodoor.Configuration, modelID string, versions []string) string {
	groups := configuration.GroupsOfModel(modelID)
	for _, version := range slices.Backward(versions) {
		if slices.ContainsFunc(groups, func(g flamingodoor.Group) bool { return g.Version == version }) {
			return version
		}
	}
	return versions[len(versions)-1]
}

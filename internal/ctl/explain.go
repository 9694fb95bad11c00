package ctl

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/explain"
	"flamingodoor.example/flamingodoor/internal/intake"
)

// maxExplanationBytes and maxExplanationErrorBytes bound what is read from a host. An
// answer takes about 350 bytes for each instance.
const (
	maxExplanationBytes      = 4 << 20
	maxExplanationErrorBytes = 1 << 10
)

type explainCommand struct {
	app             *app
	Host            string        `long:"host" required:"yes" value-name:"IP:PORT" description:"metrics address of the entry host to ask"`
	FromLog         bool          `long:"from-log" description:"take route, workspace and model from a log line event=request on standard input; other options take precedence"`
	Route           string        `long:"route" value-name:"NAME" description:"name of the route; or give --request-host and --path"`
	RequestHost     string        `long:"request-host" value-name:"NAME" description:"host name in the request"`
	Path            string        `long:"path" value-name:"PATH" description:"path of the request"`
	Service         string        `long:"service" value-name:"NAME" description:"service of a route that is split (default: that with the greatest weight)"`
	Workspace       string        `long:"workspace" value-name:"NAME" description:"name of the workspace, not its key"`
	Model           string        `long:"model" value-name:"ID" description:"model of the request"`
	PromptTokens    int           `long:"prompt-tokens" value-name:"COUNT" description:"length of the prompt (default: the mean of the service)"`
	MaxOutputTokens int           `long:"output-tokens" value-name:"COUNT" description:"limit of output tokens"`
	Deadline        time.Duration `long:"deadline" value-name:"DURATION" description:"time that the caller allows (default: the route's timeout)"`
	JSON            bool          `long:"json" description:"print JSON, like --output json"`
}

// Execute asks a host where the described request would go now.
func (c *explainCommand) Execute([]string) error {
	request, err := c.request(os.Stdin)
	if err != nil {
		return err
	}
	answer, err := c.ask(request)
	if err != nil {
		return err
	}
	if c.JSON || c.app.options.Output == outputJSON {
		encoder := json.NewEncoder(c.app.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(answer)
	}
	return answer.WriteText(c.app.stdout)
}

// request returns the request that the options, and the log if they say so, describe.
func (c *explainCommand) request(log io.Reader) (explain.Request, error) {
	request := explain.Request{
		Route: c.Route, Host: c.RequestHost, Path: c.Path, Service: c.Service, Workspace: c.Workspace, Model: c.Model,
		PromptTokens: c.PromptTokens, MaxOutputTokens: c.MaxOutputTokens, Deadline: c.Deadline,
	}
	if c.FromLog {
		logged, err := explain.ReadLog(log)
		if err != nil {
			return explain.Request{}, err
		}
		if c.Route == "" && c.RequestHost == "" {
			request.Route = logged.Route
		}
		for _, field := range []struct{ given, logged *string }{{&request.Workspace, &logged.Workspace}, {&request.Model, &logged.Model}} {
			if *field.given == "" {
				*field.given = *field.logged
			}
		}
	}
	if request.Route == "" && (request.Host == "" || request.Path == "") {
		return explain.Request{}, usageError("--route, or --request-host and --path, or --from-log is needed")
	}
	return request, nil
}

// ask sends the description to the host and returns its answer.
func (c *explainCommand) ask(described explain.Request) (*explain.Answer, error) {
	address, err := netip.ParseAddrPort(c.Host)
	if err != nil {
		return nil, usageError("--host is no IP:PORT")
	}
	target := url.URL{Scheme: "http", Host: address.String(), Path: "/explain", RawQuery: described.Query().Encode()}
	request, err := http.NewRequestWithContext(c.app.ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := c.app.http.Do(request)
	if err != nil {
		return nil, flamingodoor.NewError(flamingodoor.CodeInternal, flamingodoor.RunStateNotRun, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _, _ := intake.ReadPrefix(response.Body, maxExplanationErrorBytes) // the status is reported in any case
		return nil, flamingodoor.Errorf(flamingodoor.CodeInvalidRequest, "%s: %s %s", address, response.Status, strings.TrimSpace(string(text)))
	}
	body, err := intake.ReadAll(response.Body, maxExplanationBytes)
	if err != nil {
		return nil, flamingodoor.NewError(flamingodoor.CodeProtocol, flamingodoor.RunStateNotRun, err)
	}
	var answer explain.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, flamingodoor.NewError(flamingodoor.CodeProtocol, flamingodoor.RunStateNotRun, err)
	}
	return &answer, nil
}

package ctl

import (
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"flamingodoor.example/flamingodoor"
	operatorv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/operator/v1"
	"flamingodoor.example/flamingodoor/internal/manifest"
)

const (
	acceptanceRecorded    = operatorv1.Acceptance_ACCEPTANCE_RECORDED
	acceptanceProvisional = operatorv1.Acceptance_ACCEPTANCE_PROVISIONAL
)

// commandResponse has the fields that the responses of all commands share.
type commandResponse interface {
	proto.Message
	GetAcceptance() operatorv1.Acceptance
	GetRevision() uint64
	GetInForceAt() *timestamppb.Timestamp
}

type applyCommand struct {
	app   *app
	File  string `long:"file" short:"f" required:"yes" value-name:"FILE" description:"YAML file; - reads the standard input"`
	Prune bool   `long:"prune" description:"delete clubs, models, endpoints and group plans that the file does not declare"`
}

// Execute sends the objects of the file that differ from the configuration. Each
// change carries the revision that the object is expected to have.
func (c *applyCommand) Execute([]string) error {
	author, err := c.app.author()
	if err != nil {
		return err
	}
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	declared, err := manifest.Parse(data)
	if err != nil {
		return flamingodoor.Errorf(flamingodoor.CodeInvalidConfiguration, "%s: %s", c.File, err.Error())
	}
	current, err := call(c.app, &operatorv1.GetRequest{}, clients.Get)
	if err != nil {
		return err
	}
	changes := declared.Changes(current.GetObjects(), c.Prune)
	if len(changes) == 0 {
		return c.app.printResult("no changes", &operatorv1.ApplyResponse{
			Acceptance: operatorv1.Acceptance_ACCEPTANCE_ACCEPTED,
		})
	}
	request := &operatorv1.ApplyRequest{CommandId: uuid.NewString(), Author: author, Changes: changes}
	response, err := repeatUntilAccepted(c.app, func() (*operatorv1.ApplyResponse, error) {
		return call(c.app, request, clients.Apply)
	})
	if err != nil {
		return commandError(request.GetCommandId(), err)
	}
	return c.app.printResult(changeCount(changes), response)
}

type drainCommand struct {
	app       *app
	Reason    string `long:"reason" required:"yes" value-name:"TEXT" description:"shown in the configuration and the history"`
	CommandID string `long:"command-id" value-name:"ID" description:"repeats an earlier command"`
	Args      struct {
		DataCentre string `positional-arg-name:"DATA_CENTRE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute takes the data centre out of service.
func (c *drainCommand) Execute([]string) error {
	author, err := c.app.author()
	if err != nil {
		return err
	}
	request := &operatorv1.DrainRequest{
		CommandId: commandID(c.CommandID), Author: author, DataCentre: c.Args.DataCentre, Reason: c.Reason,
	}
	response, err := repeatUntilAccepted(c.app, func() (*operatorv1.DrainResponse, error) {
		return call(c.app, request, clients.Drain)
	})
	if err != nil {
		return commandError(request.GetCommandId(), err)
	}
	if hosts := response.GetUnconfirmedHosts(); len(hosts) > 0 {
		c.app.warn("hosts that have not confirmed the restriction: %s", strings.Join(hosts, ", "))
	}
	return c.app.printResult("data centre "+c.Args.DataCentre+" is out of service", response)
}

type returnCommand struct {
	app       *app
	CommandID string `long:"command-id" value-name:"ID" description:"repeats an earlier command"`
	Args      struct {
		DataCentre string `positional-arg-name:"DATA_CENTRE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute puts the data centre back into service.
func (c *returnCommand) Execute([]string) error {
	author, err := c.app.author()
	if err != nil {
		return err
	}
	request := &operatorv1.ReturnRequest{
		CommandId: commandID(c.CommandID), Author: author, DataCentre: c.Args.DataCentre,
	}
	response, err := repeatUntilAccepted(c.app, func() (*operatorv1.ReturnResponse, error) {
		return call(c.app, request, clients.Return)
	})
	if err != nil {
		return commandError(request.GetCommandId(), err)
	}
	return c.app.printResult("data centre "+c.Args.DataCentre+" is in service", response)
}

// repeatUntilAccepted repeats a command that is recorded but not accepted, until
// it is accepted or the timeout of the tool is near. Each repetition carries the
// same command identifier.
func repeatUntilAccepted[Response commandResponse](a *app, send func() (Response, error)) (Response, error) {
	for {
		response, err := send()
		if err != nil || response.GetAcceptance() != acceptanceRecorded {
			return response, err
		}
		deadline, ok := a.ctx.Deadline()
		if ok && time.Until(deadline) < retryInterval+minAttemptTimeout {
			return response, nil
		}
		select {
		case <-a.ctx.Done():
			return response, nil
		case <-time.After(retryInterval):
		}
	}
}

// printResult writes the result of a command. For a change that is recorded but
// not accepted it returns an error with ExitRecorded.
func (a *app) printResult(text string, response commandResponse) error {
	if a.options.Output == outputJSON {
		if err := a.printJSON(response); err != nil {
			return err
		}
	} else if err := a.print("%s: %s\n", text, resultText(response)); err != nil {
		return err
	}
	if response.GetAcceptance() == acceptanceRecorded {
		return &exitError{code: ExitRecorded, err: flamingodoor.Errorf(flamingodoor.CodeNoMajority,
			"no majority of the voters has acknowledged the change yet")}
	}
	return nil
}

func resultText(response commandResponse) string {
	text := strings.ToLower(strings.TrimPrefix(response.GetAcceptance().String(), "ACCEPTANCE_"))
	if response.GetAcceptance() == acceptanceProvisional {
		text += " until the log is back"
	}
	if response.GetRevision() > 0 {
		text += ", revision " + formatUint(response.GetRevision())
	}
	if response.GetInForceAt() != nil {
		text += ", in force everywhere at " + response.GetInForceAt().AsTime().Local().Format(time.TimeOnly)
	}
	return text
}

func changeCount(changes []*operatorv1.Change) string {
	if len(changes) == 1 {
		return "1 change"
	}
	return formatUint(uint64(len(changes))) + " changes"
}

// commandID returns the identifier that the operator gave, or a new one.
func commandID(requested string) string {
	if requested != "" {
		return requested
	}
	return uuid.NewString()
}

// commandError adds the identifier of the command, by which the operator can find
// the command in the history and repeat it.
func commandError(id string, err error) error {
	return flamingodoor.Errorf(flamingodoor.CodeOf(err), "command %s: %s", id, errorText(err))
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		name = "/dev/stdin"
	}
	data, err := os.ReadFile(name) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, flamingodoor.NewError(flamingodoor.CodeInvalidRequest, flamingodoor.RunStateNotRun, err)
	}
	return data, nil
}

package ctl

import (
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	operatorv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/operator/v1"
	"flamingodoor.example/flamingodoor/internal/manifest"
)

type getCommand struct {
	app  *app
	Args struct {
		Kind string `positional-arg-name:"KIND"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes"`
}

// Execute lists objects, or shows the fields of a single one. The kind may be in
// the plural and with hyphens, as in data-centres.
func (c *getCommand) Execute([]string) error {
	response, err := call(c.app, &operatorv1.GetRequest{
		Kind: strings.TrimSuffix(strings.ReplaceAll(c.Args.Kind, "-", "_"), "s"), Name: c.Args.Name,
	}, clients.Get)
	if err != nil {
		return err
	}
	if c.app.options.Output == outputJSON {
		return c.app.printJSON(response)
	}
	if c.Args.Name != "" {
		for _, object := range response.GetObjects() {
			if err := c.app.print("%s\n", protojson.MarshalOptions{
				Multiline: true, UseProtoNames: true,
			}.Format(object)); err != nil {
				return err
			}
		}
		return nil
	}
	return c.app.printTable("KIND\tNAME\tREVISION\tAUTHOR", func(row func(cells ...string)) {
		for _, object := range response.GetObjects() {
			row(manifest.KindOf(object), manifest.NameOf(object), formatUint(object.GetRevision()), object.GetAuthor())
		}
	})
}

type historyCommand struct {
	app   *app
	Limit uint32 `long:"limit" short:"n" default:"20" value-name:"COUNT" description:"commands to list, at most 4096"`
}

// Execute lists the latest commands.
func (c *historyCommand) Execute([]string) error {
	response, err := call(c.app, &operatorv1.HistoryRequest{Limit: c.Limit}, clients.History)
	if err != nil {
		return err
	}
	if c.app.options.Output == outputJSON {
		return c.app.printJSON(response)
	}
	return c.app.printTable("OFFSET\tTIME\tAUTHOR\tOBJECT\tVERDICT\tREASON", func(row func(cells ...string)) {
		for _, verdict := range response.GetVerdicts() {
			row(formatUint(verdict.GetOffset()), verdict.GetAuthorTime().AsTime().Local().Format(time.DateTime),
				verdict.GetAuthor(), verdict.GetObject(),
				strings.ToLower(strings.TrimPrefix(verdict.GetCode().String(), "VERDICT_CODE_")), verdict.GetReason())
		}
	})
}

type statusCommand struct {
	app *app
}

// Execute shows the deployment as the first server that answers sees it.
func (c *statusCommand) Execute([]string) error {
	response, err := call(c.app, &operatorv1.StatusRequest{}, clients.Status)
	if err != nil {
		return err
	}
	if c.app.options.Output == outputJSON {
		return c.app.printJSON(response)
	}
	if err := c.app.print("host %s, version %s, applied %d, fresh %t, log reachable %t\n",
		response.GetHostId(), response.GetVersion(), response.GetApplied(),
		response.GetFresh(), response.GetLogReachable()); err != nil {
		return err
	}
	if dataCentres := response.GetRestrictedDataCentres(); len(dataCentres) > 0 {
		if err := c.app.print("provisionally out of service: %s\n", strings.Join(dataCentres, ", ")); err != nil {
			return err
		}
	}
	return c.printTables(response)
}

func (c *statusCommand) printTables(response *operatorv1.StatusResponse) error {
	err := c.app.printTable("\nENTRY HOST\tDATA CENTRE\tVOTER\tREACHABLE\tAPPLIED", func(row func(cells ...string)) {
		for _, host := range response.GetEntryHosts() {
			row(host.GetHostId(), host.GetDataCentre(), strconv.FormatBool(host.GetVoter()),
				strconv.FormatBool(host.GetReachable()), formatUint(host.GetApplied()))
		}
	})
	if err != nil {
		return err
	}
	err = c.app.printTable("\nENDPOINT\tDATA CENTRE\tSTATE\tWATCHERS\tIN FLIGHT\tAGE", func(row func(cells ...string)) {
		for _, endpoint := range response.GetEndpoints() {
			age := "-"
			if endpoint.GetEvidenceAge() != nil {
				age = endpoint.GetEvidenceAge().AsDuration().Round(time.Millisecond).String()
			}
			row(endpoint.GetEndpointId(), endpoint.GetDataCentre(), endpoint.GetState(),
				formatUint(uint64(endpoint.GetWatchers())), formatUint(uint64(endpoint.GetInFlight())), age)
		}
	})
	if err != nil {
		return err
	}
	return c.app.printTable("\nGROUP\tMODEL\tFENCING NUMBER\tSERVING\tREASON", func(row func(cells ...string)) {
		for _, group := range response.GetGroups() {
			row(group.GetGroupId(), group.GetModelId(), formatUint(group.GetFencingNumber()),
				strconv.FormatBool(group.GetServing()), group.GetReason())
		}
	})
}

// printTable writes a table with aligned columns. The function fill calls row for
// each line below the header.
func (a *app) printTable(header string, fill func(row func(cells ...string))) error {
	writer := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, header) // Flush returns the error
	fill(func(cells ...string) { _, _ = fmt.Fprintln(writer, strings.Join(cells, "\t")) })
	return writer.Flush()
}

func formatUint(value uint64) string {
	return strconv.FormatUint(value, 10)
}

package ctl

import (
	"os"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	operatorv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/operator/v1"
	"flamingodoor.example/flamingodoor/internal/burn"
)

const defaultPeriod = 72 * time.Hour

type burnCommand struct {
	app    *app
	Period time.Duration `long:"period" default:"72h" value-name:"DURATION" description:"length of the period, up to now"`
	HTML   string        `long:"html" value-name:"FILE" description:"write a page with plots to a file instead"`
}

// Execute computes the report from the summaries in the log.
func (c *burnCommand) Execute([]string) error {
	if c.Period <= 0 {
		c.Period = defaultPeriod
	}
	to := time.Now()
	from := to.Add(-c.Period)
	response, err := call(c.app, &operatorv1.BurnReportRequest{
		From: timestamppb.New(from), To: timestamppb.New(to),
	}, clients.BurnReport)
	if err != nil {
		return err
	}
	report := burn.Compute(response.GetSummaries(), burn.DefaultObjectives(), from, to)
	switch {
	case c.HTML != "":
		return writeHTMLFile(c.HTML, report)
	case c.app.options.Output == outputJSON:
		return report.WriteJSON(c.app.stdout)
	default:
		return report.WriteText(c.app.stdout)
	}
}

func writeHTMLFile(path string, report burn.Report) error {
	file, err := os.Create(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return err
	}
	if err := report.WriteHTML(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

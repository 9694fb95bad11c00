package ctl

import (
	"io"
	"os"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	operatorv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/operator/v1"
	"flamingodoor.example/flamingodoor/internal/burn"
	"flamingodoor.example/flamingodoor/internal/ledger"
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
		return writeHTMLFile(c.HTML, report.WriteHTML)
	case c.app.options.Output == outputJSON:
		return report.WriteJSON(c.app.stdout)
	default:
		return report.WriteText(c.app.stdout)
	}
}

type lostCommand struct {
	app  *app
	HTML string `long:"html" value-name:"FILE" description:"write a page with plots to a file instead"`
	Args struct {
		Logs []string `positional-arg-name:"LOG" description:"log of one or more entry hosts; - is the standard input" required:"1"`
	} `positional-args:"yes"`
}

// Execute computes the report from the logs.
func (c *lostCommand) Execute([]string) error {
	reader := ledger.NewReader()
	for _, name := range c.Args.Logs {
		if err := readLog(reader, name); err != nil {
			return err
		}
	}
	report := reader.Report()
	switch {
	case c.HTML != "":
		return writeHTMLFile(c.HTML, report.WriteHTML)
	case c.app.options.Output == outputJSON:
		return report.WriteJSON(c.app.stdout)
	default:
		return report.WriteText(c.app.stdout)
	}
}

// readLog adds the lines of a file, or those of the standard input for the name "-".
func readLog(reader *ledger.Reader, name string) error {
	if name == "-" {
		return reader.Read(os.Stdin)
	}
	file, err := os.Open(name) //nolint:gosec // The operator names the file.
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return reader.Read(file)
}

func writeHTMLFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

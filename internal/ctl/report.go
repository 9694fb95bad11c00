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
	return c.app.writeReport(report, c.HTML)
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
	return c.app.writeReport(&report, c.HTML)
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

// report is what the report commands print.
type report interface {
	WriteText(w io.Writer) error
	WriteJSON(w io.Writer) error
	WriteHTML(w io.Writer) error
}

// writeReport writes a page to the file with the given path, or the chosen form to
// standard output if the path is empty.
func (a *app) writeReport(report report, path string) error {
	switch {
	case path != "":
		return writeHTMLFile(path, report.WriteHTML)
	case a.options.Output == outputJSON:
		return report.WriteJSON(a.stdout)
	default:
		return report.WriteText(a.stdout)
	}
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

package stormlab

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"time"
)

// columns are the columns of the table, in order: the heading and the function that formats the value of a row.
var columns = []struct {
	heading string
	format  func(Row) string
}{
	{"scenario", func(r Row) string { return r.Scenario }},
	{"variant", func(r Row) string { return r.Variant }},
	{"seeds", func(r Row) string { return strconv.Itoa(r.Seeds) }},
	{"before", func(r Row) string { return formatFloat(r.ShareBefore, 3) }},
	{"first 20 s", func(r Row) string { return formatFloat(r.Share0To20, 3) }},
	{"worst seed", func(r Row) string { return formatFloat(r.MinShare0To20, 3) }},
	{"10 to 36 s", func(r Row) string { return formatFloat(r.Share10To36, 3) }},
	{"20 to 35 s", func(r Row) string { return formatFloat(r.Share20To35, 3) }},
	{"obedient", func(r Row) string { return formatFloat(r.ShareObedient, 3) }},
	{"SIP at 0", func(r Row) string { return formatFloat(r.ShareSIP, 3) }},
	{"to 90% s", func(r Row) string { return formatSeconds(r.RecoveryMedian) }},
	{"worst s", func(r Row) string { return formatSeconds(r.RecoveryMax) }},
	{"worth lost", func(r Row) string { return formatFloat(r.WorthLost, 0) }},
	{"tries a call", func(r Row) string { return formatFloat(r.TriesPerCall, 2) }},
	{"set-ups a call", func(r Row) string { return formatFloat(r.AttemptsPerCall, 2) }},
	{"worst wait s", func(r Row) string { return formatFloat(r.MaxWait.Seconds(), 2) }},
	{"turned away", func(r Row) string { return strconv.Itoa(r.Rejected) }},
	{"fell over", func(r Row) string { return strconv.Itoa(r.Crashed) }},
	{"waits alike", func(r Row) string { return strconv.Itoa(r.RepeatedWaits) }},
	{"rules broken", func(r Row) string { return strconv.Itoa(r.Violations) }},
}

// formatFloat formats a value with a fixed number of decimals.
func formatFloat(v float64, digits int) string { return strconv.FormatFloat(v, 'f', digits, 64) }

// formatSeconds formats a duration in whole seconds, and a negative one as "never".
func formatSeconds(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return formatFloat(d.Seconds(), 0)
}

// WriteMarkdown writes the rows as a Markdown table.
func WriteMarkdown(w io.Writer, rows []Row) error {
	line, separator := "|", "|"
	for _, c := range columns {
		line += " " + c.heading + " |"
		separator += " --- |"
	}
	if _, err := fmt.Fprintf(w, "%s\n%s\n", line, separator); err != nil {
		return err
	}
	for _, r := range rows {
		line = "|"
		for _, c := range columns {
			line += " " + c.format(r) + " |"
		}
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return nil
}

// WriteCSV writes the rows as CSV with a header line.
func WriteCSV(w io.Writer, rows []Row) error {
	writer := csv.NewWriter(w)
	record := make([]string, len(columns))
	for i, c := range columns {
		record[i] = c.heading
	}
	if err := writer.Write(record); err != nil {
		return err
	}
	for _, r := range rows {
		for i, c := range columns {
			record[i] = c.format(r)
		}
		if err := writer.Write(record); err != nil {
			return err
		}
	}
	writer.Flush()
	return writer.Error()
}

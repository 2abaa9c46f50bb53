package stormlab

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"time"
)

// columns are a table's heads, each with how a row says it.
var columns = []struct {
	head string
	text func(Row) string
}{
	{"scenario", func(r Row) string { return r.Scenario }},
	{"variant", func(r Row) string { return r.Variant }},
	{"seeds", func(r Row) string { return strconv.Itoa(r.Seeds) }},
	{"before", func(r Row) string { return figure(r.Before, 3) }},
	{"first 20 s", func(r Row) string { return figure(r.First, 3) }},
	{"worst seed", func(r Row) string { return figure(r.FirstWorst, 3) }},
	{"10 to 36 s", func(r Row) string { return figure(r.From10, 3) }},
	{"20 to 35 s", func(r Row) string { return figure(r.Then, 3) }},
	{"obedient", func(r Row) string { return figure(r.Obedient, 3) }},
	{"SIP at 0", func(r Row) string { return figure(r.SIP, 3) }},
	{"to 90% s", func(r Row) string { return seconds(r.To90Median) }},
	{"worst s", func(r Row) string { return seconds(r.To90Worst) }},
	{"worth lost", func(r Row) string { return figure(r.Lost, 0) }},
	{"tries a call", func(r Row) string { return figure(r.Tries, 2) }},
	{"set-ups a call", func(r Row) string { return figure(r.Attempts, 2) }},
	{"worst wait s", func(r Row) string { return figure(r.Worst.Seconds(), 2) }},
	{"turned away", func(r Row) string { return strconv.Itoa(r.Turned) }},
	{"fell over", func(r Row) string { return strconv.Itoa(r.Fell) }},
	{"waits alike", func(r Row) string { return strconv.Itoa(r.Alike) }},
	{"rules broken", func(r Row) string { return strconv.Itoa(r.Broken) }},
}

func figure(v float64, digits int) string { return strconv.FormatFloat(v, 'f', digits, 64) }

func seconds(d time.Duration) string {
	if d < 0 {
		return "never"
	}
	return figure(d.Seconds(), 0)
}

// WriteMarkdown writes rows as a table for people.
func WriteMarkdown(w io.Writer, rows []Row) error {
	line, rule := "|", "|"
	for _, c := range columns {
		line += " " + c.head + " |"
		rule += " --- |"
	}
	if _, err := fmt.Fprintf(w, "%s\n%s\n", line, rule); err != nil {
		return err
	}
	for _, r := range rows {
		line = "|"
		for _, c := range columns {
			line += " " + c.text(r) + " |"
		}
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return nil
}

// WriteCSV writes rows as a table for programs.
func WriteCSV(w io.Writer, rows []Row) error {
	out := csv.NewWriter(w)
	record := make([]string, len(columns))
	for i, c := range columns {
		record[i] = c.head
	}
	if err := out.Write(record); err != nil {
		return err
	}
	for _, r := range rows {
		for i, c := range columns {
			record[i] = c.text(r)
		}
		if err := out.Write(record); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

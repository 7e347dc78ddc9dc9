package ctl

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/auburnwood/auburnwood/pkg/refusal"
)

// explainCommand shows why callers were refused.
type explainCommand struct {
	Caller  string        `long:"caller" value-name:"IP|NETWORK" description:"Address or network of the caller, for example 192.0.2.7 or 2001:db8::/32"`
	Service string        `long:"service" value-name:"NAME" description:"Name of the service"`
	Reason  string        `long:"reason" value-name:"REASON" description:"Reason of the refusal, for example no-target"`
	ID      string        `long:"id" value-name:"ID" description:"ID of one refusal, as the caller was told it"`
	Flow    uint64        `long:"flow" value-name:"HASH" description:"Flow of one refusal, as the log lines of balancers and agents name it"`
	Since   time.Duration `long:"since" default:"1h" value-name:"TIME" description:"Look back this long from --to"`
	From    string        `long:"from" value-name:"TIME" description:"Earliest time, as in RFC 3339; replaces --since"`
	To      string        `long:"to" value-name:"TIME" description:"Latest time, as in RFC 3339; by default now"`
}

func (c *explainCommand) run(ctx context.Context, s *session) error {
	q, err := c.query(s.app.Now())
	if err != nil {
		return err
	}
	store, err := s.store()
	if err != nil {
		return err
	}
	a, err := s.app.Refusals(store).Find(ctx, q)
	if err != nil {
		return trace.Wrap(err, "reading refusal records")
	}
	return s.writeAnswer(a)
}

// query builds the query from the options. The time range ends at now by default.
func (c *explainCommand) query(now time.Time) (refusal.Query, error) {
	q := refusal.Query{To: now, Service: c.Service, Reason: refusal.Reason(c.Reason), ID: c.ID, Flow: c.Flow}
	var err error
	if c.To != "" {
		if q.To, err = parseTime("--to", c.To); err != nil {
			return q, err
		}
	}
	if c.Since <= 0 {
		return q, &usageError{reason: "--since must be more than 0s"}
	}
	q.From = q.To.Add(-c.Since)
	if c.From != "" {
		if q.From, err = parseTime("--from", c.From); err != nil {
			return q, err
		}
	}
	if q.To.Before(q.From) || q.To.Sub(q.From) > refusal.MaxQuerySpan {
		return q, &usageError{reason: fmt.Sprintf("the time from %s to %s is not between 0s and %s long", q.From.Format(time.RFC3339), q.To.Format(time.RFC3339), refusal.MaxQuerySpan)}
	}
	q.Caller, err = parseCaller(c.Caller)
	return q, err
}

// parseTime parses the value of a time option.
func parseTime(option, v string) (time.Time, error) {
	t, err := time.Parse(time.RFC3339, v)
	if err != nil {
		return t, &usageError{reason: fmt.Sprintf("%s %q is not a time such as 2006-01-02T15:04:05Z", option, v)}
	}
	return t, nil
}

// parseCaller parses an IP address or network; an empty string gives the zero Prefix.
func parseCaller(v string) (netip.Prefix, error) {
	if v == "" {
		return netip.Prefix{}, nil
	}
	if p, err := netip.ParsePrefix(v); err == nil {
		return p.Masked(), nil
	}
	ip, err := netip.ParseAddr(v)
	if err != nil || ip.Zone() != "" {
		return netip.Prefix{}, &usageError{reason: fmt.Sprintf("--caller %q is not an IP address or network", v)}
	}
	ip = ip.Unmap()
	return netip.PrefixFrom(ip, ip.BitLen()), nil
}

// answerJSON is the JSON output of a refusal.Answer.
type answerJSON struct {
	Refusals   uint64           `json:"refusals"`
	Records    []refusal.Record `json:"records"`
	Unreadable []string         `json:"unreadable,omitempty"`
}

// writeAnswer writes the records. It returns an error when objects could not be read, since records may be missing.
func (s *session) writeAnswer(a refusal.QueryResult) error {
	out := answerJSON{Refusals: a.Refusals, Records: a.Records}
	for _, err := range a.Unreadable {
		out.Unreadable = append(out.Unreadable, trace.UserMessage(err))
	}
	var err error
	if s.json() {
		err = s.writeJSON(out)
	} else {
		err = s.writeRecords(a)
	}
	if err == nil && len(out.Unreadable) > 0 {
		err = trace.Errorf("%d batches of records could not be read whole, so records may be missing; the first: %s", len(out.Unreadable), out.Unreadable[0])
	}
	return err
}

// writeRecords writes the records as a table.
func (s *session) writeRecords(a refusal.QueryResult) error {
	if len(a.Records) == 0 {
		_, err := fmt.Fprintln(s.app.Stdout, "no refusals found")
		return trace.Wrap(err, "writing the output")
	}
	rows := make([][]string, 0, len(a.Records))
	for _, r := range a.Records {
		rows = append(rows, recordColumns(r))
	}
	head := []string{"TIME", "COUNT", "CALLER", "SERVICE", "DESTINATION", "REASON", "RUN", "REVISION", "DECIDED BY", "DETAIL"}
	if err := s.writeTable(head, rows); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(s.app.Stdout, "%d refusals in %d records\n", a.Refusals, len(a.Records)); err != nil {
		return trace.Wrap(err, "writing the output")
	}
	return s.writeExplanations(a.Records)
}

// writeExplanations writes one line for each reason of the records.
func (s *session) writeExplanations(records []refusal.Record) error {
	seen := make(map[refusal.Reason]bool)
	for _, r := range records {
		text := r.Reason.Explanation()
		if seen[r.Reason] || text == "" {
			continue
		}
		seen[r.Reason] = true
		if _, err := fmt.Fprintf(s.app.Stdout, "%s: %s\n", r.Reason, text); err != nil {
			return trace.Wrap(err, "writing the output")
		}
	}
	return nil
}

// recordColumns returns the table row of a record.
func recordColumns(r refusal.Record) []string {
	caller := r.Caller.String()
	if r.Count > 1 && r.Callers.IsValid() {
		caller = r.Callers.String()
	}
	service := r.Service
	if service == "" {
		service = none
	}
	return []string{
		timeText(r), strconv.FormatUint(uint64(r.Count), 10), caller, service, r.Destination.String(),
		string(r.Reason), string(r.Run), strconv.FormatUint(r.Revision, 10), r.DecidedBy, r.Detail,
	}
}

// recordTime is the format of times in the table.
const recordTime = "2006-01-02T15:04:05.000Z"

// timeText returns a record's time, or the first and the last time of a merged record.
func timeText(r refusal.Record) string {
	first := r.Time.UTC().Format(recordTime)
	if r.Count <= 1 || r.Last.IsZero() {
		return first
	}
	return first + " to " + r.Last.UTC().Format(recordTime)
}

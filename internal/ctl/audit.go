package ctl

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/tealhall/tealhall/internal/admin"
	"github.com/tealhall/tealhall/internal/fault"
)

// followTimeout is how long a followed trail may stay silent before the stream counts as lost. The
// entry writes at least once every admin.KeepAlive.
const followTimeout = 3 * admin.KeepAlive

// maxLineBytes is the largest size of one record.
const maxLineBytes = 4 << 20

func auditCommand(o *options) *cobra.Command {
	var since uint64
	var follow bool
	cmd := &cobra.Command{
		Use:   "audit",
		Short: "Show the trail of changes: who changed what, from what to what, and why",
		Long: "Show the trail of changes that an entry keeps in memory: who changed what, from\n" +
			"what to what, at which revision and why. With --output json, one record a line.",
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error { return o.audit(cmd.Context(), since, follow) },
	}
	cmd.Flags().Uint64Var(&since, "since", 0, "show only records after this number")
	cmd.Flags().BoolVarP(&follow, "follow", "f", false, "keep printing new records as they arrive")
	return cmd
}

func (o *options) audit(ctx context.Context, since uint64, follow bool) error {
	query := url.Values{"since": {strconv.FormatUint(since, 10)}, "follow": {strconv.FormatBool(follow)}}
	maxSilence := o.timeout
	if follow {
		maxSilence = followTimeout
	}
	readCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	errSilent := fault.New(fault.Unavailable, "run the command again; give --since to continue", "the entry sent nothing for %s", maxSilence)
	watchdog := time.AfterFunc(maxSilence, func() { cancel(errSilent) })
	defer watchdog.Stop()
	response, err := o.open(readCtx, admin.AuditPath+"?"+query.Encode())
	if err != nil {
		return err
	}
	defer response.Body.Close()
	err = o.copyTrail(response.Body, func() { watchdog.Reset(maxSilence) })
	switch {
	case ctx.Err() != nil:
		return nil // the operator ended the command
	case errors.Is(context.Cause(readCtx), errSilent):
		return errSilent
	case err == nil && follow:
		return fault.New(fault.Unavailable, "run the command again once the entry or its successor runs", "the entry ended the stream")
	}
	return err
}

// copyTrail writes the records of a stream until it ends. It calls onLine for each line, also for
// the empty lines that keep the stream alive.
func (o *options) copyTrail(stream io.Reader, onLine func()) error {
	lines := bufio.NewScanner(stream)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		onLine()
		if len(lines.Bytes()) == 0 {
			continue // keep-alive
		}
		if err := o.writeRecord(lines.Bytes()); err != nil {
			return err
		}
	}
	return fault.Wrap(lines.Err(), fault.Unavailable, "run the command again; give --since to continue", "the stream broke off")
}

func (o *options) writeRecord(text []byte) error {
	if o.output == outputJSON {
		_, err := fmt.Fprintf(o.out, "%s\n", text)
		return err
	}
	var line admin.AuditLine
	if err := json.Unmarshal(text, &line); err != nil {
		return fault.Wrap(err, fault.Unavailable, "use the tealhallctl of the entry's release", "cannot parse an audit record")
	}
	p := &page{out: o.out}
	if line.Dropped {
		p.line("(earlier records are no longer kept)")
	}
	p.line("%s", recordText(&line))
	return nil
}

func recordText(line *admin.AuditLine) string {
	text := fmt.Sprintf("%s  #%d  %s: %s %s", timestamp(line.Wall), line.Seq, line.Actor, line.Subject, line.Action)
	if line.From != "" || line.To != "" {
		text += ", " + line.From + " -> " + line.To
	}
	if line.Revision > 0 {
		text += fmt.Sprintf(" (revision %s)", revision(line.Revision))
	}
	if line.Why != "" {
		text += ": " + line.Why
	}
	return text
}

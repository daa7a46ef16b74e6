package ctl

import (
	"errors"
	"os"

	"github.com/spf13/cobra"

	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/profile"
)

func profileCommand(o *options) *cobra.Command {
	cmd := &cobra.Command{Use: "profile", Short: "Check and compare profile documents before they are published"}
	makeGroup(cmd)
	cmd.AddCommand(
		&cobra.Command{
			Use:               "check FILE",
			Short:             "Check a document as an entry would; exit with 3 if it would be refused",
			Args:              exactArgs(1),
			ValidArgsFunction: completeFiles,
			RunE:              func(_ *cobra.Command, args []string) error { return o.checkProfile(args[0]) },
		},
		&cobra.Command{
			Use:               "diff OLD NEW",
			Short:             "Show what changes for which service when NEW replaces OLD",
			Args:              exactArgs(2),
			ValidArgsFunction: completeFiles,
			RunE:              func(_ *cobra.Command, args []string) error { return o.diffProfiles(args[0], args[1]) },
		},
	)
	return cmd
}

func completeFiles(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
	return []string{"toml"}, cobra.ShellCompDirectiveFilterFileExt
}

// checkResult is the result of "profile check".
type checkResult struct {
	File     string        `json:"file"`
	Accepted bool          `json:"accepted"`
	Services int           `json:"services"`
	Closes   int           `json:"closes"`
	Problems []problemView `json:"problems"`
	Warnings []problemView `json:"warnings"`
}

// problemView is the JSON form of a profile.Problem.
type problemView struct {
	Line    int    `json:"line"`
	Path    string `json:"path"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

func problemViews(problems []profile.Problem) []problemView {
	views := make([]problemView, len(problems))
	for i, p := range problems {
		views[i] = problemView(p)
	}
	return views
}

// readProfile reads and parses a document. It passes revision 1, since a document gets its revision
// when it is published and the check does not depend on it.
func readProfile(file string) (*profile.Snapshot, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "give the name of a readable file", "cannot read the document")
	}
	return profile.Parse(data, 1)
}

func (o *options) checkProfile(file string) error {
	snapshot, err := readProfile(file)
	var refused *profile.DocumentError
	if err != nil && !errors.As(err, &refused) {
		return err
	}
	result := checkResult{File: file, Accepted: err == nil, Problems: []problemView{}, Warnings: []problemView{}}
	if refused != nil {
		result.Problems = problemViews(refused.Problems)
	} else {
		result.Services, result.Closes = len(snapshot.Services()), len(snapshot.Closes())
		result.Warnings = problemViews(snapshot.Warnings())
	}
	if err := o.show(result, func(p *page) { checkPage(p, &result) }); err != nil {
		return err
	}
	if refused != nil {
		return fault.New(fault.BadProfile, "correct the lines above", "%s would be refused: %d problem(s)", file, len(refused.Problems))
	}
	return nil
}

func checkPage(p *page, r *checkResult) {
	for _, problem := range r.Problems {
		p.line("%s: %s", r.File, profile.Problem(problem))
	}
	for _, warning := range r.Warnings {
		p.line("%s: warning: %s", r.File, profile.Problem(warning))
	}
	if r.Accepted {
		p.line("%s: accepted, %d services, %d closes", r.File, r.Services, r.Closes)
	}
}

// changeView is the JSON form of a profile.Change.
type changeView struct {
	Subject string `json:"subject"`
	Name    string `json:"name"`
	Mode    string `json:"mode"`
	Field   string `json:"field"`
	From    string `json:"from"`
	To      string `json:"to"`
}

func (o *options) diffProfiles(oldFile, newFile string) error {
	prev, err := readValidProfile(oldFile)
	if err != nil {
		return err
	}
	next, err := readValidProfile(newFile)
	if err != nil {
		return err
	}
	changes := profile.Diff(prev, next)
	views := make([]changeView, len(changes))
	for i, c := range changes {
		views[i] = changeView{Subject: string(c.Subject), Name: c.Name, Mode: string(c.Mode), Field: c.Field, From: c.From, To: c.To}
	}
	return o.show(views, func(p *page) { diffPage(p, changes) })
}

// readValidProfile reads a document. If it would be refused, the error names the file.
func readValidProfile(file string) (*profile.Snapshot, error) {
	snapshot, err := readProfile(file)
	if fault.KindOf(err) == fault.BadProfile {
		return nil, fault.Wrap(err, fault.BadProfile, "see tealhallctl profile check", "%s would be refused", file)
	}
	return snapshot, err
}

func diffPage(p *page, changes []profile.Change) {
	if len(changes) == 0 {
		p.line("nothing changes for any service")
		return
	}
	for _, c := range changes {
		p.line("%s", c)
	}
}

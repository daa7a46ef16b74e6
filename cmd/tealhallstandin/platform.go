package main

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/fault"
	"github.com/tealhall/tealhall/internal/published"
	"github.com/tealhall/tealhall/internal/standin"
)

const (
	// pollPeriod is how often the published files are checked for changes.
	pollPeriod = time.Second
)

// platformFlags holds the flags of the platform stand-in.
type platformFlags struct {
	listen        string
	control       string
	profiles      string
	vms           string
	firstRevision uint64
}

func platformCommand() *cobra.Command {
	var flags platformFlags
	command := &cobra.Command{
		Use:   "platform",
		Short: "Serve profiles and the VM list from files, publishing each change",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runPlatform(command.Context(), flags)
		},
	}
	set := command.Flags()
	set.StringVar(&flags.listen, "listen", "127.0.0.1:8500", "IP:port to serve values on")
	set.StringVar(&flags.control, "control", "", "IP:port of the control interface; none by default")
	set.StringVar(&flags.profiles, "profiles", "", "file with the profile document (TOML)")
	set.StringVar(&flags.vms, "vms", "", "file with the VM list (JSON)")
	set.Uint64Var(&flags.firstRevision, "first-revision", 1,
		"revision of the first values; above all earlier revisions if entries keep running")
	return command
}

func runPlatform(ctx context.Context, flags platformFlags) error {
	service := standin.NewPlatform(standin.RealClock())
	service.SetFirstRevision(flags.firstRevision)
	files := publishedFiles(flags)
	for i := range files {
		if err := files[i].publish(service); err != nil {
			return err
		}
	}
	server, err := standin.NewServer(flags.listen, service, standin.RealClock(), 0)
	if err != nil {
		return err
	}
	defer server.Kill()
	if flags.control != "" {
		control, err := standin.NewServer(flags.control, standin.PlatformControl(service), standin.RealClock(), 0)
		if err != nil {
			return err
		}
		defer control.Kill()
	}
	klog.InfoS("Serving values", "address", server.Address(), "control", flags.control)
	republish(ctx, service, files)
	return nil
}

// publishedFile is a file whose content is published as a named value.
type publishedFile struct {
	name string
	path string
	last []byte
}

func publishedFiles(flags platformFlags) []publishedFile {
	var files []publishedFile
	if flags.profiles != "" {
		files = append(files, publishedFile{name: published.ProfilesValue, path: flags.profiles})
	}
	if flags.vms != "" {
		files = append(files, publishedFile{name: published.VMsValue, path: flags.vms})
	}
	return files
}

// publish publishes the file's content if it has changed since the last call.
func (f *publishedFile) publish(service *standin.Platform) error {
	data, err := os.ReadFile(f.path)
	if err != nil {
		return fault.Wrap(err, fault.BadSettings, "name a readable file", "cannot read a file to publish")
	}
	if f.last != nil && bytes.Equal(data, f.last) {
		return nil
	}
	f.last = data
	revision := service.Put(f.name, data)
	klog.InfoS("Published", "value", f.name, "revision", revision, "bytes", len(data))
	if f.name != published.VMsValue {
		return nil
	}
	if _, err := published.ParseVMs(published.Value{Name: f.name, Revision: revision, Data: data}); err != nil {
		klog.ErrorS(err, "Entries will refuse the published VM list")
	}
	return nil
}

// republish publishes changes of the files until ctx ends. While a file cannot be read, for example
// because an editor is replacing it, its last content stays published.
func republish(ctx context.Context, service *standin.Platform, files []publishedFile) {
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for i := range files {
			if err := files[i].publish(service); err != nil {
				klog.ErrorS(err, "Cannot publish the file; its last content stays published", "value", files[i].name)
			}
		}
	}
}

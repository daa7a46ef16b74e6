package daemon

import (
	"os"
	"reflect"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/settings"
)

// settingsPoll is how often the settings file is looked at for a change that no
// signal announced. A look costs one system call.
const settingsPoll = 2 * time.Second

// reloadable is what a reload changes of an entry.
type reloadable interface {
	SetSeeds(seeds []string)
}

// reloader takes over settings that change while the entry runs: the seeds and the
// level of the log. All others hold from the next start on.
type reloader struct {
	path    string
	entry   reloadable
	inForce *settings.Settings
	stamp   fileStamp
}

// fileStamp tells one version of a file from another.
type fileStamp struct {
	modified time.Time
	size     int64
}

func stampOf(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{modified: info.ModTime(), size: info.Size()}
}

func newReloader(path string, e reloadable, inForce *settings.Settings) *reloader {
	return &reloader{path: path, entry: e, inForce: inForce, stamp: stampOf(path)}
}

// poll reloads the settings if the file has changed.
func (r *reloader) poll() {
	if now := stampOf(r.path); now != r.stamp {
		r.reload("the file has changed")
	}
}

// reload reads the settings and takes over what may change. Settings that are
// refused change nothing.
func (r *reloader) reload(cause string) {
	r.stamp = stampOf(r.path)
	next, err := readSettings(r.path)
	if err != nil {
		klog.ErrorS(err, "the changed settings are refused; those before stay in force", "file", r.path, "cause", cause)
		return
	}
	if !slices.Equal(next.Peers.Seeds, r.inForce.Peers.Seeds) {
		r.entry.SetSeeds(next.Peers.Seeds)
	}
	if next.Log.Verbosity != r.inForce.Log.Verbosity {
		setVerbosity(next.Log.Verbosity)
	}
	others := *next
	others.Peers.Seeds, others.Log.Verbosity = r.inForce.Peers.Seeds, r.inForce.Log.Verbosity
	needsRestart := !reflect.DeepEqual(&others, r.inForce)
	r.inForce.Peers.Seeds, r.inForce.Log.Verbosity = next.Peers.Seeds, next.Log.Verbosity
	klog.InfoS("settings read again", "file", r.path, "cause", cause, "seeds", next.Peers.Seeds, "moreAtTheNextStart", needsRestart)
}

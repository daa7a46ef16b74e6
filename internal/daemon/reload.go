package daemon

import (
	"os"
	"reflect"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/tealhall/tealhall/internal/settings"
)

// settingsPoll is the interval at which the daemon checks whether the settings file has changed
// without a SIGHUP. A check costs one system call.
const settingsPoll = 2 * time.Second

// reloadable is the part of an entry that a reload changes.
type reloadable interface {
	SetSeeds(seeds []string)
}

// reloader applies changed settings while the entry runs: the seeds and the log verbosity. All
// other changes take effect at the next start.
type reloader struct {
	path    string
	entry   reloadable
	inForce *settings.Settings
	stamp   fileStamp
}

// fileStamp identifies a version of a file by its modification time and size.
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

// reload reads the settings and applies those that may change at run time. Invalid settings change
// nothing.
func (r *reloader) reload(cause string) {
	r.stamp = stampOf(r.path)
	next, err := readSettings(r.path)
	if err != nil {
		klog.ErrorS(err, "the changed settings are invalid; the previous settings stay in force", "file", r.path, "cause", cause)
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
	klog.InfoS("settings reloaded", "file", r.path, "cause", cause, "seeds", next.Peers.Seeds, "moreAtTheNextStart", needsRestart)
}

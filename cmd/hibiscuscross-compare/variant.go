package main

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"github.com/hibiscuscross/hibiscuscross/pkg/fault"
	"github.com/hibiscuscross/hibiscuscross/platform/bench"
)

// journalDir is the folder in which the bench records plays, relative to the sources that it plays.
const journalDir = "journal"

// variant is one commit, checked out in a folder of its own.
type variant struct{ commit, dir string }

// checkOut checks the commit out in a temporary worktree.
func checkOut(ctx context.Context, commit string) (*variant, error) {
	id, err := git(ctx, "rev-parse", "--short=12", commit+"^{commit}")
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "compare-"+id+"-")
	if err != nil {
		return nil, fault.Wrap(err, fault.StepSettings, commit, "create folder")
	}
	if _, err := git(ctx, "worktree", "add", "--detach", "--quiet", dir, id); err != nil {
		return nil, err
	}
	return &variant{commit: id, dir: dir}, nil
}

// remove copies the journal entries of the plays to the current folder and removes the worktree.
func (v *variant) remove() {
	if err := copyNew(filepath.Join(v.dir, journalDir), journalDir); err != nil {
		printError("copy journal entries", err)
		return
	}
	if _, err := git(context.Background(), "worktree", "remove", "--force", v.dir); err != nil {
		printError("remove worktree", err)
	}
}

func git(ctx context.Context, args ...string) (string, error) {
	out, err := exec.CommandContext(ctx, "git", args...).Output()
	if err != nil {
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			return "", fault.Newf(fault.StepSettings, "git", "%s: %s", args[0], strings.TrimSpace(string(exit.Stderr)))
		}
		return "", fault.Wrap(err, fault.StepSettings, "git", args[0])
	}
	return strings.TrimSpace(string(out)), nil
}

// copyNew copies the files below from that do not exist below into.
func copyNew(from, into string) error {
	return filepath.WalkDir(from, func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		target := filepath.Join(into, relative)
		if entry.IsDir() {
			return os.MkdirAll(target, 0o755)
		}
		if _, err := os.Stat(target); err == nil {
			return nil
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(target, raw, 0o644)
	})
}

// playAll plays all plays with all variants, except those whose results are known.
func playAll(ctx context.Context, b bench.Bench, variants []*variant, plays []bench.Play, known *results, jobs int) error {
	type job struct {
		v *variant
		p bench.Play
	}
	queue := make(chan job)
	var workers sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	for range max(1, jobs) {
		workers.Go(func() {
			for j := range queue {
				r, err := b.Run(ctx, j.v.dir, j.p)
				mu.Lock()
				if err == nil {
					err = known.add(j.v.commit, j.p, r)
				}
				errs = append(errs, err)
				mu.Unlock()
			}
		})
	}
	for _, p := range plays {
		for _, v := range variants { // both variants play a day at about the same time, under the same load of the machine
			mu.Lock()
			_, ok := known.get(v.commit, p)
			mu.Unlock()
			if !ok {
				queue <- job{v: v, p: p}
			}
		}
	}
	close(queue)
	workers.Wait()
	return errors.Join(errs...)
}

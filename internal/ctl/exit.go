package ctl

import (
	"errors"
	"fmt"

	"github.com/tealhall/tealhall/internal/fault"
)

// Exit codes of tealhallctl.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailure means that the command failed, for example because the entry did not answer.
	ExitFailure = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
	// ExitRefused means that entries would refuse a profile document.
	ExitRefused = 3
	// ExitNotCalm means that "status --require-calm" found a concern.
	ExitNotCalm = 4
)

const exitCodesText = `Exit codes:
  0  done
  1  the command failed, for example because the entry did not answer
  2  the command line is invalid
  3  a profile document would be refused
  4  status --require-calm found a concern`

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	var usageErr *usageError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usageErr):
		return ExitUsage
	case errors.Is(err, errNotCalm):
		return ExitNotCalm
	case fault.KindOf(err) == fault.BadProfile:
		return ExitRefused
	}
	return ExitFailure
}

var errNotCalm = errors.New("the fleet is not calm; see the concerns above")

// usageError reports an invalid command line.
type usageError struct{ cause error }

func (e *usageError) Error() string { return e.cause.Error() + "; see --help" }
func (e *usageError) Unwrap() error { return e.cause }

func asUsageError(err error) error {
	if err == nil {
		return nil
	}
	return &usageError{cause: err}
}

func usageErrorf(format string, args ...any) error { return asUsageError(fmt.Errorf(format, args...)) }

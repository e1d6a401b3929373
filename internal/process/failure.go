package process

import "sync/atomic"

// failure holds the first error for which a process stops. It may be used concurrently.
type failure struct {
	cause atomic.Pointer[error]
}

// set records the cause, unless there is one already.
func (f *failure) set(cause error) { f.cause.CompareAndSwap(nil, &cause) }

// get returns the first cause, or nil.
func (f *failure) get() error {
	if cause := f.cause.Load(); cause != nil {
		return *cause
	}
	return nil
}

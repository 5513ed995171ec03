package estimator

import "github.com/laburnumshelf/laburnumshelf/internal/request/caller"

// KeyOf returns the key of a call.
func KeyOf(call *caller.Call) Key {
	return Key{
		Route:         call.Route,
		Path:          call.Path,
		Size:          call.Body.Size(),
		Organisation:  call.Organisation,
		CallerService: call.CallerService,
	}
}

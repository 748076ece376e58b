package caller

import (
	"net/http"

	"github.com/julienschmidt/httprouter"
)

// Calls runs calls of plain services.
type Calls interface{}

// call serves one call of a plain service.
func (h *Handler) call(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	h.refuse(w, "", "", invalid("", "not served yet"))
}

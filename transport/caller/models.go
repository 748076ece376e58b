package caller

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"dogwooddyke/state/catalogue"
)

// modelBody is an entry in OpenAI's form.
type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func modelOf(entry *catalogue.Entry) modelBody {
	return modelBody{ID: entry.Name, Object: "model", OwnedBy: entry.Owner}
}

// models lists the engine entries that are open to the workspace.
func (h *Handler) models(w http.ResponseWriter, _ *http.Request, _ httprouter.Params, workspace *catalogue.Workspace) {
	list := make([]modelBody, 0)
	for _, e := range h.config.Catalogue.View().Entries() {
		if e.Kind == catalogue.KindEngine && e.Allows(workspace.Name) && len(list) < maximumModels {
			list = append(list, modelOf(e))
		}
	}
	writeJSON(w, struct {
		Object string      `json:"object"`
		Data   []modelBody `json:"data"`
	}{"list", list})
}

// model shows one engine entry.
func (h *Handler) model(w http.ResponseWriter, _ *http.Request, parameters httprouter.Params, workspace *catalogue.Workspace) {
	entry, err := h.entry(parameters.ByName("model"), catalogue.KindEngine, workspace)
	if err != nil {
		h.refuse(w, workspace.Name, "", err)
		return
	}
	writeJSON(w, modelOf(entry))
}

func writeJSON(w http.ResponseWriter, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

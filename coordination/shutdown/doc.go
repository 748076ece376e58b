// Package shutdown decides until when an instance that is being stopped accepts connections and lets its requests wait for answers.
package shutdown

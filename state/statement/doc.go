// Package statement describes what endpoints say of themselves in their answers.
package statement

// Package lease gives one instance at a time the right to order an entry's engines, by records in the log.
package lease

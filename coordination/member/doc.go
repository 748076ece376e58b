// Package member keeps which instances are live, which are leaving, and which one of them stewards a key.
package member

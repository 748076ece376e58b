// Package length learns how long generations get, and says how many tokens remain for one that has emitted some.
package length

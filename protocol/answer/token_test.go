package answer

import (
	"errors"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	testNow   = time.Unix(1_700_000_000, 0)
	testToken = ResumeToken{
		Answer: "a", Entry: "verdicts", Attempt: 2, Delivered: 41, DeliveredHash: 1 << 63,
		Endpoint: netip.MustParseAddrPort("127.0.0.1:9000"), Origin: netip.MustParseAddrPort("[::1]:7000"),
		Deadline: testNow.Add(time.Minute).Unix(), BodyHash: []byte{1, 2, 3},
	}
)

func newSigner(t testing.TB, current, previous string) *Signer {
	t.Helper()
	long := func(s string) []byte { return []byte(strings.Repeat(s, minimumKeyBytes)) }
	signer, err := NewSigner(long(current), long(previous))
	if err != nil {
		t.Fatal(err)
	}
	return signer
}

func TestSigner(t *testing.T) {
	signed := func(t *testing.T) string {
		t.Helper()
		text, err := newSigner(t, "k", "").Sign(&testToken, "rescue")
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	t.Run("roundTrip", func(t *testing.T) {
		is := is.New(t)
		token, err := newSigner(t, "k", "").Verify(signed(t), "rescue", testNow)
		is.NoErr(err)
		is.Equal(*token, testToken)
		is.Equal(token.Generation(), "a.2")
		is.True(len(signed(t)) < 160) // the resume token is sent with each generated token
	})
	t.Run("rotation", func(t *testing.T) {
		is := is.New(t)
		_, err := newSigner(t, "n", "k").Verify(signed(t), "rescue", testNow)
		is.NoErr(err)
		_, err = newSigner(t, "n", "").Verify(signed(t), "rescue", testNow)
		is.True(errors.Is(err, ErrInvalidToken))
	})
	t.Run("foreign", func(t *testing.T) {
		is := is.New(t)
		_, err := newSigner(t, "k", "").Verify(signed(t), "anglers", testNow)
		is.True(errors.Is(err, ErrInvalidToken))
	})
	t.Run("expired", func(t *testing.T) {
		is := is.New(t)
		_, err := newSigner(t, "k", "").Verify(signed(t), "rescue", testNow.Add(time.Minute))
		is.True(errors.Is(err, ErrTokenExpired))
	})
	t.Run("shortKeys", func(t *testing.T) {
		is := is.New(t)
		_, err := NewSigner([]byte("short"), nil)
		is.True(err != nil)
		_, err = NewSigner(testKey, []byte("short"))
		is.True(err != nil)
	})
	t.Run("forged", func(t *testing.T) {
		is := is.New(t)
		text := signed(t)
		for i := range text {
			other := byte('A')
			if text[i] == other {
				other = 'B'
			}
			_, err := newSigner(t, "k", "").Verify(text[:i]+string(other)+text[i+1:], "rescue", testNow)
			is.True(errors.Is(err, ErrInvalidToken))
		}
	})
}

func FuzzVerify(f *testing.F) {
	signer := newSigner(f, "k", "p")
	text, err := signer.Sign(&testToken, "rescue")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add(text[:20])
	f.Fuzz(func(t *testing.T, other string) {
		if _, err := signer.Verify(other, "rescue", testNow); err == nil && other != text {
			t.Fatalf("accepted %q", other)
		}
	})
}

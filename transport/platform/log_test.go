package platform

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/standin"
	"dogwooddyke/state/record"
)

func startLog(t *testing.T, config standin.LogConfig) (*standin.Log, *Log) {
	t.Helper()
	is := is.New(t)
	s := standin.NewLog(config)
	at, err := s.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	is.NoErr(err)
	t.Cleanup(func() { _ = s.Close() })
	return s, NewLog("http://"+at.String(), NewClient())
}

func assertAppendError(t *testing.T, l *Log, want error) {
	t.Helper()
	is := is.New(t)
	_, err := l.Append(t.Context(), "s", []byte("x"))
	is.True(errors.Is(err, want))
}

func TestLog(t *testing.T) {
	t.Run("appendsAndReads", func(t *testing.T) {
		is := is.New(t)
		_, l := startLog(t, standin.LogConfig{})
		for want := uint64(1); want <= 3; want++ {
			offset, err := l.Append(t.Context(), "s", []byte{byte(want), 0, 255})
			is.NoErr(err)
			is.Equal(offset, want)
		}
		page, err := l.Read(t.Context(), "s", 2, time.Time{})
		is.NoErr(err)
		is.Equal(len(page.Records), 2)
		is.Equal(page.Next, uint64(4))
		is.Equal(page.Records[0].Data, []byte{2, 0, 255})
	})
	t.Run("outageTookNothing", func(t *testing.T) {
		is := is.New(t)
		s, l := startLog(t, standin.LogConfig{})
		is.NoErr(s.Fault(standin.Fault{Kind: standin.FaultOutage, Until: time.Now().Add(time.Minute)}))
		assertAppendError(t, l, record.ErrUnavailable)
		_, err := l.Read(t.Context(), "s", 1, time.Time{})
		is.True(errors.Is(err, record.ErrUnavailable))
		s.ClearFaults()
		page, err := l.Read(t.Context(), "s", 1, time.Time{})
		is.NoErr(err)
		is.Equal(len(page.Records), 0)
	})
	t.Run("lostAnswerIsUnknown", func(t *testing.T) {
		is := is.New(t)
		s, l := startLog(t, standin.LogConfig{})
		is.NoErr(s.Fault(standin.Fault{Kind: standin.FaultDropAnswer, Value: 1, Until: time.Now().Add(time.Minute)}))
		assertAppendError(t, l, record.ErrOutcomeUnknown)
		page, err := l.Read(t.Context(), "s", 1, time.Time{})
		is.NoErr(err)
		is.Equal(len(page.Records), 1)
	})
	t.Run("largeRecords", func(t *testing.T) {
		is := is.New(t)
		_, l := startLog(t, standin.LogConfig{})
		const count, size = 24, 3 << 20 // together over the bound of one page
		for range count {
			_, err := l.Append(t.Context(), "s", make([]byte, size))
			is.NoErr(err)
		}
		read := 0
		for from := uint64(1); read < count; {
			page, err := l.Read(t.Context(), "s", from, time.Time{})
			is.NoErr(err)
			is.True(len(page.Records) > 0)
			read += len(page.Records)
			from = page.Next
		}
		is.Equal(read, count)
	})
	t.Run("nobodyThere", func(t *testing.T) {
		s, l := startLog(t, standin.LogConfig{})
		_ = s.Close()
		assertAppendError(t, l, record.ErrUnavailable)
	})
	t.Run("silentConnection", func(t *testing.T) {
		is := is.New(t)
		s, l := startLog(t, standin.LogConfig{})
		_, err := l.Append(t.Context(), "s", []byte("x"))
		is.NoErr(err)
		is.NoErr(s.Fault(standin.Fault{Kind: standin.FaultSilence}))
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err = l.Append(ctx, "s", []byte("y"))
		is.True(errors.Is(err, record.ErrOutcomeUnknown))
		_, err = l.Append(t.Context(), "s", []byte("z"))
		is.NoErr(err)
	})
}

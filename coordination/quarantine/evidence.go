package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwooddyke/state/prompt"
	"dogwooddyke/state/suspicion"
)

// Notices returns the news for this instance's next report; nil if there are none.
func (x *Exchange) Notices(now time.Time) *News {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	news := News{}
	for n := range x.pending {
		p := &x.pending[n]
		if len(news.Answers) == maximumNews {
			break
		}
		crash := x.table.Crash(p.crash)
		if crash != nil && !news.addCrash(x.table, crash, now) {
			break
		}
		if crash == nil {
			news.addAnswer(x.table, p.part, now)
		}
		p.reportsLeft--
	}
	x.pending = slices.DeleteFunc(x.pending, func(p pendingNews) bool { return p.reportsLeft <= 0 })
	if news.IsEmpty() {
		return nil
	}
	return &news
}

// addCrash adds a crash unless the news would become too long.
func (n *News) addCrash(t *suspicion.Table, c *suspicion.Crash, now time.Time) bool {
	notice := crashNotice(t, c, now)
	count := notice.partCount()
	for k := range n.Crashes {
		count += n.Crashes[k].partCount()
	}
	if len(n.Crashes) == maximumNews || count > maximumNewsParts {
		return false
	}
	n.Crashes = append(n.Crashes, notice)
	return true
}

// addAnswer adds the latest answer on a part, unless it is not known or in the news already.
func (n *News) addAnswer(t *suspicion.Table, p prompt.Part, now time.Time) {
	at := t.AnsweredAt(p)
	listed := slices.ContainsFunc(n.Answers, func(a AnswerNotice) bool { return a.Part == p })
	if !at.IsZero() && !listed && len(n.Answers) < maximumNews {
		n.Answers = append(n.Answers, AnswerNotice{Part: p, Age: max(now.Sub(at), 0)})
	}
}

// EncodeNotices returns the encoded news for one message, nil if there are none.
func (x *Exchange) EncodeNotices(now time.Time) []byte {
	news := x.Notices(now)
	if news == nil {
		return nil
	}
	return x.codec.Encode(news)
}

// Receive records what another instance has told, and reports whether any of it was new.
func (x *Exchange) Receive(news *News, now time.Time) bool {
	if news.IsEmpty() {
		return false
	}
	x.mutex.Lock()
	changed := x.record(news, now)
	x.notifyAndUnlock(changed, now)
	return changed
}

// record records news, and reports whether they change the evidence; the caller holds the mutex. Crashes come first: an answer may clear them.
func (x *Exchange) record(news *News, now time.Time) bool {
	changed := false
	for n := range news.Crashes {
		changed = x.table.AddCrash(news.Crashes[n].crash(now)) || changed
	}
	for _, a := range news.Answers {
		changed = x.table.AddAnswer(a.Part, now.Add(-a.Age)) || changed
	}
	return changed
}

// ReceiveNews records the news of a message of another instance, and reports whether any of it was new.
func (x *Exchange) ReceiveNews(data []byte, now time.Time) bool {
	news := &News{}
	if !x.codec.Decode(data, news) {
		return false
	}
	changed := x.Receive(news, now)
	if news.Answer && (!news.Starting || x.countUninformed() >= uninformedAnswers) {
		x.setInformed()
	}
	return changed
}

// countUninformed counts an answer of an instance that has just started too, and returns how many there were.
func (x *Exchange) countUninformed() int {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	x.uninformed++
	return x.uninformed
}

// ReceiveComparison answers with news if the sender knows something else, or has just started.
func (x *Exchange) ReceiveComparison(data []byte, now time.Time) {
	comparison := &Comparison{}
	if !x.codec.Decode(data, comparison) {
		return
	}
	x.mutex.Lock()
	differs := x.digest(now) != comparison.Digest
	news := x.allNews(now)
	news.Answer, news.Starting = true, !x.isInformed
	x.mutex.Unlock()
	if !comparison.Starting && (!differs || news.IsEmpty()) {
		return
	}
	if answer := x.codec.Encode(&news); answer != nil {
		x.config.Network.SendNews(comparison.From, answer)
	}
}

// allNews returns all crashes and the answers on the parts that they name, as far as a message can hold them: those first that are explained,
// then the newest; the caller holds the mutex.
func (x *Exchange) allNews(now time.Time) News {
	crashes := x.table.Crashes(now)
	rank := func(c *suspicion.Crash) int {
		if x.table.IsExplained(c) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(crashes, func(a, b *suspicion.Crash) int { return rank(a) - rank(b) })
	return x.newsOfCrashes(crashes, now)
}

// newsOf returns the latest crashes that name one of the parts, and the answers on the parts; the caller holds the mutex.
func (x *Exchange) newsOf(parts []prompt.Part, now time.Time) News {
	var crashes []*suspicion.Crash
	for _, p := range parts {
		for _, c := range x.table.CrashesOf(p) {
			if !slices.Contains(crashes, c) {
				crashes = append(crashes, c)
			}
		}
	}
	slices.SortFunc(crashes, func(a, b *suspicion.Crash) int { return b.At.Compare(a.At) })
	news := x.newsOfCrashes(crashes[:min(len(crashes), maximumAskNews)], now)
	for _, p := range parts {
		news.addAnswer(x.table, p, now)
	}
	return news
}

// newsOfCrashes returns crashes and the answers on the parts that they name; the caller holds the mutex.
func (x *Exchange) newsOfCrashes(crashes []*suspicion.Crash, now time.Time) News {
	news := News{}
	for _, c := range crashes {
		if !news.addCrash(x.table, c, now) {
			break
		}
		for _, parts := range c.Prompts {
			for _, p := range parts {
				news.addAnswer(x.table, p, now)
			}
		}
	}
	return news
}

// digest returns a hash of the crashes that are not cleared, and of which of their parts are; the caller holds the mutex. Of a crash under more
// requests than a table keeps, instances may know different ones, which they can't tell each other; only its process counts.
func (x *Exchange) digest(now time.Time) uint64 {
	sum := uint64(0)
	for _, c := range x.table.Crashes(now) {
		if x.table.IsCleared(c) {
			continue
		}
		if c.IsFull() {
			sum += xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(c.Process.Address.String()), c.Process.Start))
			continue
		}
		for _, parts := range c.Prompts {
			data := binary.BigEndian.AppendUint64([]byte(c.Process.Address.String()), c.Process.Start)
			for _, p := range parts {
				data = binary.BigEndian.AppendUint64(data, uint64(p))
				if !x.table.MayHaveCaused(p, c) {
					data = append(data, 1)
				}
				if slices.Contains(c.Tried, p) {
					data = append(data, 2)
				}
			}
			sum += xxhash.Sum64(data)
		}
	}
	return sum
}

package suspicion

import "time"

const (
	severalCrashes  = 2                      // from which on a part can be a suspect
	expiryInterval  = time.Second            // between two searches for crashes to forget
	forgetInterval  = 100 * time.Millisecond // between two searches for answers to forget
	crashSpacing    = 100 * time.Millisecond // between two crashes that count separately; endpoints that fail together have a cause of their own
	severalTogether = 3                      // crashes within crashSpacing that count twice for a request without a prompt
	crashLifetime   = 30 * time.Minute       // for which a crash counts
	clearedLifetime = time.Minute            // for which a crash is kept that no part of a prompt explains any more
	answerLifetime  = time.Minute            // before a crash, within which an answer shows that a part was sound until then
	soundAllowance  = 2                      // crashes that are not counted for a part that was sound until then
	maximumCrashes  = 256                    // that a table holds
	maximumPrompts  = 256                    // of one crash
	maximumAnswers  = 16384                  // parts whose latest answer a table remembers
	maximumRivals   = 8                      // parts that two crashes are enough to suspect, if all explain both equally well
)

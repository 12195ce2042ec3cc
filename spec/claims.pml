/* Claims on idempotency keys: calls that must not run twice. Steps are named after src/core/claims.cpp.
 *
 * A client repeats a call, and two instances receive the same key. The log keeps records in order. An append may be lost,
 * may take effect while its answer is lost, or may take effect late. An instance may pause at any step, and the window of
 * the key may pass meanwhile. After the window the client no longer uses the key, and a repeat counts as a new call.
 *
 * FAULTS: NO_READBACK SEND_AFTER_REFUSAL NO_DISPATCH_LIMIT FREE_AFTER_SEND
 */
#define INSTANCES 2
#define RECORDS 8
#define CLAIM 1
#define OUTCOME_RAN 2
#define OUTCOME_NOT_RUN 3

byte kind[RECORDS];      /* record types in the log, by offset */
byte attemptOf[RECORDS]; /* attempt number: instance * 3 + try + 1 */
byte length = 0;         /* records in the log */
byte runs = 0;           /* times that the service executed the call */
bool expired = false;    /* the window of the key has passed */
byte runsInWindow = 0;   /* executions that count in the current window */
bool appendDelayed = false; /* an append without an answer has not reached the log yet */
byte delayedAttempt = 0;    /* attempt number of that append */
bool reportedNotRun[INSTANCES]; /* the caller was told not_run */
bool ranBy[INSTANCES];          /* the instance sent the call to the service */

inline append(k, a)
{
    if
    :: length < RECORDS -> kind[length] = k; attemptOf[length] = a; length++
    :: else -> skip
    fi
}

/* Step FOLD: sets winner to the attempt that owns the key after the records below upTo, 0 if none. A claim record that
 * repeats an attempt is ignored. */
inline foldTo(upTo, winner, ended)
{
    i = 0; winner = 0; ended = false; seenAttempts = 0;
    do
    :: i >= upTo -> break
    :: else ->
        if
        :: kind[i] == CLAIM ->
            if
            :: (seenAttempts & (1 << attemptOf[i])) -> skip
            :: !(seenAttempts & (1 << attemptOf[i])) && winner == 0 ->
                winner = attemptOf[i]; seenAttempts = seenAttempts | (1 << attemptOf[i])
            :: !(seenAttempts & (1 << attemptOf[i])) && winner != 0 -> seenAttempts = seenAttempts | (1 << attemptOf[i])
            fi
        :: kind[i] == OUTCOME_NOT_RUN && attemptOf[i] == winner && !ended -> winner = 0
        :: kind[i] == OUTCOME_RAN && attemptOf[i] == winner -> ended = true
        :: else -> skip
        fi;
        i++
    od;
    i = 0; seenAttempts = 0
}

proctype instance(byte me)
{
    byte i = 0; byte winner = 0; byte tries = 0; byte attempt = 0; byte ownAttempts = 0;
    short seenAttempts = 0;
    bool ended = false; bool answered = false; bool checked = false; bool sent = false;

    /* Step APPEND: each try appends a claim with a new attempt number. */
    do
    :: tries < 2 && !sent ->
        attempt = me * 3 + tries + 1;
        ownAttempts = ownAttempts | (1 << (me * 3 + tries + 1));
        tries++;
        answered = false;
        if
        :: atomic { true -> append(CLAIM, attempt); answered = true }                /* appended, answered */
        :: atomic { true -> append(CLAIM, attempt) }                                 /* appended, answer lost */
        :: atomic { !appendDelayed -> appendDelayed = true; delayedAttempt = attempt } /* delayed, answer lost */
        fi;
        /* Step READBACK: the fold decides who owns the key, whatever the append answered. */
        atomic {
#ifdef NO_READBACK
            if
            :: answered -> winner = attempt
            :: else -> winner = 0
            fi
#else
            foldTo(length, winner, ended)
#endif
        };
        if
        :: winner != 0 && !ended && (winner == attempt || (ownAttempts & (1 << winner))) ->
            /* Step WIN: the instance may have paused before this. The dispatch limit is much shorter than the window, so a
             * winner that sends in time sends inside the window. */
            if
#ifndef NO_DISPATCH_LIMIT
            :: atomic { !expired -> runs++; runsInWindow++; sent = true; ranBy[me] = true }
            :: atomic { expired -> reportedNotRun[me] = true }
#else
            :: checked = true; atomic { runs++; runsInWindow++; sent = true; ranBy[me] = true }
#endif
            fi;
            if
            :: sent ->
                /* Step OUTCOME: the process may crash before it appends the outcome. */
                if
#ifdef FREE_AFTER_SEND
                :: atomic { true -> append(OUTCOME_NOT_RUN, winner) }
#endif
                :: atomic { true -> append(OUTCOME_RAN, winner) }
                :: skip
                fi
            :: else ->
                atomic { append(OUTCOME_NOT_RUN, winner) } /* Step FREE */
            fi;
            break
        :: else -> skip
        fi
    :: true -> /* the caller's deadline passed: report not_run, and free the key if the claim wins later */
        if
        :: !sent -> reportedNotRun[me] = true
        :: else -> skip
        fi;
        atomic {
            foldTo(length, winner, ended);
            if
#ifdef SEND_AFTER_REFUSAL
            :: winner != 0 && (ownAttempts & (1 << winner)) && !ended && !sent -> runs++; runsInWindow++; ranBy[me] = true
#else
            :: winner != 0 && (ownAttempts & (1 << winner)) && !ended && !sent -> append(OUTCOME_NOT_RUN, winner)
#endif
            :: else -> skip
            fi
        };
        break
    od
}

/* Delivers a delayed append at any time or never, and may deliver the last claim again. */
proctype network()
{
    do
    :: atomic { appendDelayed -> append(CLAIM, delayedAttempt); appendDelayed = false }
    :: atomic { length > 0 && kind[length - 1] == CLAIM -> append(CLAIM, attemptOf[length - 1]) } /* duplicated */
    :: break
    od
}

/* Lets the window of the key pass, at most once. A key older than the window counts as new, so earlier executions no
 * longer count. */
proctype window()
{
    if
    :: atomic { expired = true; runsInWindow = 0 }
    :: skip
    fi
}

init
{
    atomic { run instance(0); run instance(1); run network(); run window() };
    (_nr_pr == 1);
    /* The call is executed at most once over the lifetime of the key. */
    assert(runs <= 1);
    /* An instance that reported not_run did not execute the call. */
    assert(!(reportedNotRun[0] && ranBy[0]));
    assert(!(reportedNotRun[1] && ranBy[1]));
    assert(!expired || runsInWindow == 0)
}

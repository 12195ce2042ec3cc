/* Configuration fold. Steps are named after src/core/config_fold.cpp.
 *
 * Each of two operators changes one of two rows, from a base offset that may be outdated. A controller writes a snapshot
 * that may be outdated by the time it is appended. One reader (whole) folds every record; another (late) starts from the
 * snapshot, because the records below it have been deleted. At the end every accepted change must be in force at both
 * readers, and no reader may lose a change that it has applied.
 *
 * FAULTS: NO_CONFLICT_CHECK SNAPSHOT_OVERRIDES
 */
#define RECORDS 7
#define CHANGE 1
#define SNAPSHOT 2

byte kind[RECORDS];
byte row[RECORDS];     /* change: row that it sets, 0 or 1 */
byte value[RECORDS];   /* change: new value */
byte base[RECORDS];    /* change: offset that the operator had read up to; snapshot: offset it covers */
byte id[RECORDS];      /* change: its id, 1 or 2 */
/* Contents of the snapshot; see reader. */
byte snapshotRow0; byte snapshotRow1; byte snapshotTouched0; byte snapshotTouched1; byte snapshotSeenIds;
byte length = 0;
bool snapshotWritten = false;
byte evaluatedEnd = 0;       /* offset + 1 of the last change that either reader accepted */
bool conflictMissed = false; /* a change overwrote one that its operator had not read */
bool regressed = false;      /* a reader lost a change that it had applied */
bool appliedTwice = false;   /* a change took effect twice */
byte finishedWriters = 0;    /* operators and snapshot writers that are done */
byte acceptedIds;            /* bit set of the change ids that took effect */

typedef reader {
    byte applied;      /* offset of the next record to fold */
    byte rows[2];
    byte touched[2];   /* offset + 1 of the last change of each row */
    byte seenIds;      /* bit set of the change ids folded */
};
reader whole;
reader late;

/* Step EVALUATE: accepts or rejects the record at offset `at` and applies it to reader r. */
inline fold(r, at)
{
    if
    :: kind[at] == CHANGE ->
        if
        :: (r.seenIds & (1 << id[at])) -> skip
        :: !(r.seenIds & (1 << id[at])) ->
            r.seenIds = r.seenIds | (1 << id[at]);
            if
#ifndef NO_CONFLICT_CHECK
            :: r.touched[row[at]] > base[at] -> skip
            :: r.touched[row[at]] <= base[at] ->
#else
            :: true ->
#endif
                if
                :: r.touched[row[at]] > base[at] -> conflictMissed = true
                :: else -> skip
                fi;
                if
                :: at + 1 > evaluatedEnd && (acceptedIds & (1 << id[at])) -> appliedTwice = true
                :: else -> skip
                fi;
                if
                :: at + 1 > evaluatedEnd -> evaluatedEnd = at + 1; acceptedIds = acceptedIds | (1 << id[at])
                :: else -> skip
                fi;
                r.rows[row[at]] = value[at];
                r.touched[row[at]] = at + 1
            fi
        fi
    :: kind[at] == SNAPSHOT ->
#ifdef SNAPSHOT_OVERRIDES
        regressed = regressed || r.touched[0] > snapshotTouched0 || r.touched[1] > snapshotTouched1;
        r.rows[0] = snapshotRow0; r.rows[1] = snapshotRow1; r.touched[0] = snapshotTouched0; r.touched[1] = snapshotTouched1
#else
        skip
#endif
    fi;
    r.applied = at + 1
}

proctype operator(byte me)
{
    byte from = 0; byte target = 0;
    atomic {
        from = whole.applied;
        if
        :: target = 0
        :: target = 1
        fi
    };
    atomic {
        kind[length] = CHANGE; row[length] = target; value[length] = me; base[length] = from; id[length] = me; length++
    };
    if
    :: atomic { /* the answer was lost: the change is appended again under the same id */
        length < RECORDS - 2 ->
            kind[length] = CHANGE; row[length] = target; value[length] = me; base[length] = from; id[length] = me;
            length++
        }
    :: skip
    fi;
    finishedWriters++
}

proctype snapshotWriter()
{
    byte asOf;
    atomic {
        asOf = whole.applied;
        snapshotRow0 = whole.rows[0]; snapshotRow1 = whole.rows[1];
        snapshotTouched0 = whole.touched[0]; snapshotTouched1 = whole.touched[1];
        snapshotSeenIds = whole.seenIds
    };
    atomic { kind[length] = SNAPSHOT; base[length] = asOf; length++; snapshotWritten = true };
    finishedWriters++
}

proctype follower()
{
    byte before0; byte before1;
    do
    :: atomic { whole.applied < length -> fold(whole, whole.applied) }
    :: atomic { whole.applied == length && finishedWriters == 3 -> break }
    od
}

init
{
    byte at;
    atomic { run operator(1); run operator(2); run snapshotWriter(); run follower() };
    (_nr_pr == 1);
    /* Step LOAD_SNAPSHOT: the late reader takes the rows of the snapshot, then folds all records above it. */
    atomic {
        at = 0;
        do
        :: at < length && kind[at] != SNAPSHOT -> at++
        :: else -> break
        od;
        late.applied = base[at];
        late.rows[0] = snapshotRow0; late.rows[1] = snapshotRow1;
        late.touched[0] = snapshotTouched0; late.touched[1] = snapshotTouched1;
        late.seenIds = snapshotSeenIds;
        at = late.applied;
        do
        :: at < length -> fold(late, at); at++
        :: else -> break
        od
    };
    assert(late.rows[0] == whole.rows[0] && late.rows[1] == whole.rows[1]);
    assert(late.touched[0] == whole.touched[0] && late.touched[1] == whole.touched[1]);
    assert(!conflictMissed);
    assert(!regressed);
    assert(!appliedTwice)
}

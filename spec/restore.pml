/* A store that is restored from an older copy, and an instance that follows a key in it. Steps are named after
 * platform/keyed_follower.cpp.
 *
 * The operator writes versions of one key to a log. The store may be restored from a copy: it forgets the newest records, assigns
 * their offsets again and begins the next epoch; the operator then writes its newest version again. The instance reads the log,
 * with two reads in flight at most, whose answers may be late and overtake each other.
 *
 * Checked: the version in force never goes back; once an answer that shows the end of the log has been applied, the version in
 * force is at least the one in the log.
 *
 * FAULTS: OFFSETS_KEPT TAKES_OLDER LATE_ANSWER
 */
#define MAX_RECORDS 4
#define MAX_VERSION 4
#define MAX_EPOCH 3

byte log[MAX_RECORDS];
byte end = 0;         /* records in the log */
byte copyEnd = 0;     /* records in the copy */
byte epoch = 1;
byte written = 0;     /* newest version of the operator */
chan answers = [2] of { byte, byte, byte, byte }; /* epoch and offset of the read's begin, epoch and end of the answer */

proctype operator()
{
endOperator:
    do
    :: atomic { /* Step WRITE */
        (written < MAX_VERSION && end < MAX_RECORDS) -> written++; log[end] = written; end++
        }
    :: atomic { /* Step REWRITE */
        (epoch > 1 && end < MAX_RECORDS && (end == 0 || log[end - 1] < written)) -> log[end] = written; end++
        }
    od
}

proctype store()
{
endStore:
    do
    :: atomic { (copyEnd < end) -> copyEnd = end }
    :: atomic { (epoch < MAX_EPOCH && copyEnd < end) -> end = copyEnd; epoch++ }
    od
}

proctype instance()
{
    byte known = 1;   /* epoch of the offsets */
    byte next = 0;    /* offset to read next */
    byte version = 0; /* in force */
    byte fromEpoch; byte from; byte answerEpoch; byte answerEnd; byte value;
endInstance:
    do
    :: atomic { /* Step READ: the store answers, the answer is under way */
        nfull(answers) -> answers ! known, next, epoch, end
        }
    :: atomic { /* Step HANDLE */
        answers ?? fromEpoch, from, answerEpoch, answerEnd ->
        value = 0;
#ifndef OFFSETS_KEPT
        if
#ifndef LATE_ANSWER
        :: answerEpoch < known -> skip /* an answer from before the restore */
        :: answerEpoch > known -> known = epoch; next = 0; answerEnd = end; value = (end > 0 -> log[end - 1] : 0); next = end /* Step LIST */
#else
        :: answerEpoch != known -> known = answerEpoch; next = answerEnd
#endif
        :: answerEpoch == known && fromEpoch != known -> answerEnd = 255 /* begun before the list */
        :: answerEpoch == known && fromEpoch == known && answerEnd > next && epoch == known -> value = log[answerEnd - 1]; next = answerEnd
        :: else -> skip
        fi;
#else
        if /* a value counts only if its offset is above the known one */
        :: answerEnd > next && end >= answerEnd -> value = log[answerEnd - 1]; next = answerEnd
        :: else -> skip
        fi;
#endif
        if
#ifdef TAKES_OLDER
        :: value > 0 -> assert(value >= version); version = value
#else
        :: value > version -> version = value
#endif
        :: else -> skip
        fi;
        if
        :: answerEpoch == epoch && answerEnd == end && end > 0 -> assert(version >= log[end - 1])
        :: else -> skip
        fi
        }
    od
}

init
{
    atomic { run operator(); run store(); run instance() }
}

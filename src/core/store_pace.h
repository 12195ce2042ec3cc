#pragma once

// How often each of many instances asks the platform's store. Pure functions of the instance's rank, on which all instances agree.
//
// Designed for a store that is away, silent or turns some instances away. Usually a few instances read it and confirm to the others
// that nothing is missing. Without these confirmations each instance asks for itself, all at the same moment. Here each rank waits
// longer than the one before it: the first ones notice the return of the store soon and pass on what they read, and the calls of the
// whole deployment grow far slower than its size.

#include "kernel/ids.h"

namespace chestnut
{

// Delay of the next try after `failures` consecutive failed calls, at least 1. Doubles with each failure up to a limit that grows with the
// rank; 0 is the first rank.
milliseconds storeRetryDelay(int failures, int rank);

// Largest age of the newest confirmation at which this instance still does not read the store, 0 for the first rank, which always reads.
// `noticeLimit` is the time within which every instance must know a change. What is left of it is for the read, and for the time that
// the confirmation was on its way.
milliseconds maxConfirmationAge(milliseconds noticeLimit, int rank);

// Time between two reads of the lease log while nobody confirms its holder.
milliseconds leasePollInterval(int rank);

}

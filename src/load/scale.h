#pragma once

#include <string>
#include <vector>

namespace chestnut
{

// Publishes COUNT one-row changes of a sheet and prints the times until each is accepted and until it is active on all
// instances. arguments: ENTRIES SHEET COUNT. Returns the exit status.
int measurePublications(const std::vector<std::string> &arguments);

// Sends submissions with new idempotency keys at a constant rate and prints the verdicts and latencies.
// arguments: ENTRIES KEY RATE SECONDS. Returns the exit status.
int measureSubmissions(const std::vector<std::string> &arguments);

// Prints run times and data sizes of the code without I/O at several deployment sizes: fold, snapshot, configuration
// view, choice of a chain, placement, membership rows.
int measureScale();

}

#pragma once

#include <string>
#include <vector>

namespace chestnut
{

// Publishes a one-row change again and again and prints the time until it is in force on all instances.
// words: ENTRIES SHEET COUNT. Returns the exit status.
int measurePublications(const std::vector<std::string> &words);

// Sends submissions with fresh keys at a steady rate and prints verdicts and latencies.
// words: ENTRIES KEY RATE SECONDS. Returns the exit status.
int measureSubmissions(const std::vector<std::string> &words);

// Prints time and size of the pure parts at several sizes: fold, snapshot, deployment, choice of a chain, placement,
// membership rows.
int measureScale();

}

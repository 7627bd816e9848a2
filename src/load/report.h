#pragma once

// Prints a run: a table for people, JSON lines for scripts.

#include "load/loadrun.h"
#include "load/tally.h"

#include <ostream>
#include <string>
#include <vector>

namespace Rhubarbwind
{

/** One line a class and one for all; then what was refused by tier, why, and broken promises. */
void printTable(std::ostream &out, const std::string &label, const Tally &tally, const LoadRunReport &run, const std::vector<BrokenPromise> &broken);
/** The same figures as one JSON object a line. */
void printJsonLines(std::ostream &out, const std::string &label, const Tally &tally, const LoadRunReport &run);

} // namespace Rhubarbwind

#pragma once

// Prints a run: a table for people, JSON lines for scripts.

#include "load/loadrun.h"
#include "load/tally.h"

#include <istream>
#include <ostream>
#include <string>
#include <vector>

namespace Rhubarbwind
{

/** All rates are per second of the arrivals, so that runs of one plan compare. One line a class and one for all; then what was refused by tier, why, and broken promises. */
void printTable(std::ostream &out, const std::string &label, const Tally &tally, const LoadRunReport &run, const std::vector<BrokenPromise> &broken);
/** The same figures as one JSON object a line. */
void printJsonLines(std::ostream &out, const std::string &label, const Tally &tally, const LoadRunReport &run);
/** Reads JSON lines of several runs and sets them side by side, class by class; lines that are none are skipped. */
void printComparison(std::ostream &out, std::istream &lines);

} // namespace Rhubarbwind

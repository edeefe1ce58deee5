#ifndef PARSLEYWING_BENCH_FLEETREPORT_H
#define PARSLEYWING_BENCH_FLEETREPORT_H

#include "FleetMeasurement.h"

#include <iosfwd>

namespace parsleywing::bench {

/// Rows of cells; the first row is the header.
using Table = std::vector<std::vector<std::string>>;

/// Prints the table with aligned columns or as Markdown.
void printTable(std::ostream &Out, const Table &Rows, bool Markdown);

/// Formats a number with this many decimal places.
std::string formatDecimal(double Value, int Digits);

/// Prints the command line, the seed, and the processors and memory of the
/// machine.
void printConditions(std::ostream &Out, const std::string &CommandLine,
                     std::uint64_t Seed, bool Markdown);

/// Prints one table of results and one of accounts.
void printResults(std::ostream &Out, const DeploymentPlan &Plan,
                  const FleetResults &Results, bool Markdown);

} // namespace parsleywing::bench

#endif

#ifndef PARSLEYWING_BENCH_FLEETREPORT_H
#define PARSLEYWING_BENCH_FLEETREPORT_H

#include "FleetMeasurement.h"

#include <iosfwd>

namespace parsleywing::bench {

/// Rows of cells, the first row being the heading.
using Table = std::vector<std::vector<std::string>>;

/// Writes the table with aligned columns, or as Markdown.
void printTable(std::ostream &Out, const Table &Rows, bool Markdown);

/// A number with this many digits after the point.
std::string decimal(double Value, int Digits);

/// The command line, seed, processors and memory of the machine.
void printConditions(std::ostream &Out, const std::string &CommandLine,
                     std::uint64_t Seed, bool Markdown);

/// One table of figures and one of accounts.
void printFigures(std::ostream &Out, const DeploymentPlan &Plan,
                  const FleetFigures &Figures, bool Markdown);

} // namespace parsleywing::bench

#endif
